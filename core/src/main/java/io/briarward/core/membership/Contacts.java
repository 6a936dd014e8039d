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
 * The recent direct probes of a node, from which it determines whether it can reach a majority of
 * the VMs.
 *
 * <p>If the number of other VMs does not exceed the sample size, the majority is counted over all
 * VMs on the platform's list, including those believed to be dead, so that two groups that cannot
 * reach each other never both have a majority. In a larger group it is estimated from the latest
 * probes of evenly chosen VMs. Not thread-safe.
 */
public final class Contacts {
  private static final int RETAINED_SAMPLES = 3;

  /**
   * The share of a sample that indicates a majority of all VMs, with a margin for sampling error.
   */
  private static final double SAMPLE_MAJORITY_SHARE = 0.7;

  private record Answer(long sentAtMillis, long version) {}

  private static final class SampledProbe {
    final long sequence;
    final long sentAtMillis;
    Optional<Long> version = Optional.empty();

    SampledProbe(long sequence, long sentAtMillis) {
      this.sequence = sequence;
      this.sentAtMillis = sentAtMillis;
    }
  }

  private final int sampleSize;
  private final long answerTimeoutMillis;
  private final long windowMillis;
  private final Map<String, Answer> lastAnswers = new HashMap<>();
  private final Deque<SampledProbe> sampledProbes = new ArrayDeque<>();
  private ImmutableSet<String> others = ImmutableSet.of();
  private boolean hasList;

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
    hasList = true;
    lastAnswers.keySet().retainAll(vmIds);
  }

  /** Records a probe sent to a VM that was chosen evenly from all others. */
  void onProbeSent(long sequence, long sentAtMillis) {
    sampledProbes.addLast(new SampledProbe(sequence, sentAtMillis));
    if (sampledProbes.size() > RETAINED_SAMPLES * sampleSize) {
      sampledProbes.removeFirst();
    }
  }

  /** Records an answer to a probe, whether or not the probe belongs to the sample. */
  void onAnswer(String vmId, long sequence, long sentAtMillis, Digest digest) {
    long version = digest.settled() ? digest.version() : Digest.NO_VERSION;
    lastAnswers.merge(vmId, new Answer(sentAtMillis, version), Contacts::latest);
    sampledProbes.stream()
        .filter(probe -> probe.sequence == sequence)
        .forEach(probe -> probe.version = Optional.of(version));
  }

  /**
   * Returns whether a majority of the VMs, including this node, answered recently and reported a
   * version that satisfies the predicate.
   *
   * <p>An answer of a node that is not settled counts as {@link Digest#NO_VERSION}.
   */
  public boolean hasMajority(long nowMillis, LongPredicate predicate) {
    if (!hasList) {
      return false;
    }
    return others.size() > sampleSize
        ? sampleHasMajority(nowMillis, predicate)
        : smallGroupHasMajority(nowMillis, predicate);
  }

  /** Returns whether most recent probes were unanswered, so this node itself may be at fault. */
  boolean areMostProbesUnanswered(long nowMillis) {
    List<SampledProbe> probes = probesToEvaluate(nowMillis);
    long unanswered = probes.stream().filter(probe -> probe.version.isEmpty()).count();
    return 2 * unanswered > probes.size();
  }

  private boolean smallGroupHasMajority(long nowMillis, LongPredicate predicate) {
    long inContact =
        lastAnswers.values().stream()
            .filter(answer -> isRecent(answer.sentAtMillis(), nowMillis))
            .filter(answer -> predicate.test(answer.version()))
            .count();
    return 2 * (inContact + 1) > others.size() + 1;
  }

  private boolean sampleHasMajority(long nowMillis, LongPredicate predicate) {
    List<SampledProbe> probes = probesToEvaluate(nowMillis);
    long matching =
        probes.stream()
            .filter(probe -> probe.version.isPresent() && predicate.test(probe.version.get()))
            .count();
    return 2 * probes.size() >= sampleSize && matching >= SAMPLE_MAJORITY_SHARE * probes.size();
  }

  /**
   * Returns the latest probes within the window whose answer time-out has elapsed.
   *
   * <p>Younger probes are excluded whether answered or not: an answer is known as soon as it
   * arrives, a missing one only after the time-out, so including them would overstate the answered
   * share.
   */
  private List<SampledProbe> probesToEvaluate(long nowMillis) {
    List<SampledProbe> probes = new ArrayList<>();
    Iterator<SampledProbe> latestFirst = sampledProbes.descendingIterator();
    while (latestFirst.hasNext() && probes.size() < sampleSize) {
      SampledProbe probe = latestFirst.next();
      boolean hasTimedOut = nowMillis - probe.sentAtMillis >= answerTimeoutMillis;
      if (hasTimedOut && isRecent(probe.sentAtMillis, nowMillis)) {
        probes.add(probe);
      }
    }
    return probes;
  }

  private boolean isRecent(long sentAtMillis, long nowMillis) {
    return nowMillis - sentAtMillis < windowMillis;
  }

  private static Answer latest(Answer first, Answer second) {
    return second.sentAtMillis() >= first.sentAtMillis() ? second : first;
  }
}
