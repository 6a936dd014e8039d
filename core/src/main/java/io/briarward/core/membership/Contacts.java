package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The direct probes that a node sent lately, and whether most of them were answered.
 *
 * <p>In a small group the majority counts every VM on the platform's list, also those that are
 * thought dead, so that two groups which cannot reach each other never both have one. In a group
 * larger than the sample it is judged from the last probes that were drawn evenly. Not thread-safe.
 */
public final class Contacts {
  private static final int KEPT_SAMPLES = 3;

  /** The share of a sample that stands for a majority of all, with a margin for chance. */
  private static final double SAMPLE_MAJORITY = 0.7;

  private record Answer(long sentAtMillis, long version) {}

  private static final class Sampled {
    final long sequence;
    final long sentAtMillis;
    Optional<Long> version = Optional.empty();

    Sampled(long sequence, long sentAtMillis) {
      this.sequence = sequence;
      this.sentAtMillis = sentAtMillis;
    }
  }

  private final int sampleSize;
  private final long answerTimeoutMillis;
  private final long windowMillis;
  private final Map<String, Answer> lastAnswers = new HashMap<>();
  private final Deque<Sampled> sample = new ArrayDeque<>();
  private ImmutableSet<String> others = ImmutableSet.of();
  private boolean listed;

  private Contacts(MembershipSettings settings) {
    this.sampleSize = settings.sampleSize();
    this.answerTimeoutMillis = settings.answerTimeoutMillis();
    this.windowMillis = settings.contactWindowMillis();
  }

  static Contacts create(MembershipSettings settings) {
    return new Contacts(settings);
  }

  void setOthers(ImmutableSet<String> vmIds) {
    others = checkNotNull(vmIds, "vmIds");
    listed = true;
    lastAnswers.keySet().retainAll(vmIds);
  }

  /** Notes that a probe was sent to a VM that was drawn evenly from all others. */
  void onSent(long sequence, long sentAtMillis) {
    sample.addLast(new Sampled(sequence, sentAtMillis));
    if (sample.size() > KEPT_SAMPLES * sampleSize) {
      sample.removeFirst();
    }
  }

  /** Notes an answer, also to a probe outside the sample. */
  void onAnswer(String vmId, long sequence, long sentAtMillis, Digest digest) {
    long version = digest.settled() ? digest.version() : Digest.NO_VERSION;
    lastAnswers.merge(vmId, new Answer(sentAtMillis, version), Contacts::later);
    sample.stream()
        .filter(probe -> probe.sequence == sequence)
        .forEach(probe -> probe.version = Optional.of(version));
  }

  /**
   * Returns whether a majority, with the node itself, answered lately and reported a version that
   * satisfies the predicate.
   *
   * <p>Answers of nodes that are not settled count as {@link Digest#NO_VERSION}.
   */
  public boolean hasMajority(long nowMillis, LongPredicate predicate) {
    if (!listed) {
      return false;
    }
    return others.size() > sampleSize
        ? sampleHasMajority(nowMillis, predicate)
        : groupHasMajority(nowMillis, predicate);
  }

  /** Returns whether most of the last probes were not answered, so that the fault may be ours. */
  boolean doubtsItself(long nowMillis) {
    List<Sampled> probes = judged(nowMillis);
    long unanswered = probes.stream().filter(probe -> probe.version.isEmpty()).count();
    return 2 * unanswered > probes.size();
  }

  private boolean groupHasMajority(long nowMillis, LongPredicate predicate) {
    long inContact =
        lastAnswers.values().stream()
            .filter(answer -> isRecent(answer.sentAtMillis(), nowMillis))
            .filter(answer -> predicate.test(answer.version()))
            .count();
    return 2 * (inContact + 1) > others.size() + 1;
  }

  private boolean sampleHasMajority(long nowMillis, LongPredicate predicate) {
    List<Sampled> probes = judged(nowMillis);
    long matching =
        probes.stream()
            .filter(probe -> probe.version.isPresent() && predicate.test(probe.version.get()))
            .count();
    return 2 * probes.size() >= sampleSize && matching >= SAMPLE_MAJORITY * probes.size();
  }

  /**
   * Returns the last probes within the window that have had time for an answer.
   *
   * <p>Younger ones are left out whether answered or not, since answers are noted sooner than their
   * absence.
   */
  private List<Sampled> judged(long nowMillis) {
    List<Sampled> probes = new ArrayList<>();
    Iterator<Sampled> latestFirst = sample.descendingIterator();
    while (latestFirst.hasNext() && probes.size() < sampleSize) {
      Sampled probe = latestFirst.next();
      boolean hadTime = nowMillis - probe.sentAtMillis >= answerTimeoutMillis;
      if (hadTime && isRecent(probe.sentAtMillis, nowMillis)) {
        probes.add(probe);
      }
    }
    return probes;
  }

  private boolean isRecent(long sentAtMillis, long nowMillis) {
    return nowMillis - sentAtMillis < windowMillis;
  }

  private static Answer later(Answer first, Answer second) {
    return second.sentAtMillis() >= first.sentAtMillis() ? second : first;
  }
}
