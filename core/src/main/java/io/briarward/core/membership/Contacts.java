package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The direct probes that a node finished lately, and whether most of them were answered.
 *
 * <p>In a small group the majority counts every VM on the platform's list, also those that are
 * thought dead, so that two groups which cannot reach each other never both have one. In a group
 * larger than the sample it is judged from the last finished probes. Not thread-safe.
 */
public final class Contacts {
  private record Finished(long sentAtMillis, Optional<Long> version) {}

  private final int sampleSize;
  private final long windowMillis;
  private final Map<String, Finished> lastAnswers = new HashMap<>();
  private final Deque<Finished> sample = new ArrayDeque<>();
  private ImmutableSet<String> others = ImmutableSet.of();
  private boolean listed;

  private Contacts(int sampleSize, long windowMillis) {
    this.sampleSize = sampleSize;
    this.windowMillis = windowMillis;
  }

  static Contacts create(MembershipSettings settings) {
    return new Contacts(settings.sampleSize(), settings.contactWindowMillis());
  }

  void setOthers(ImmutableSet<String> vmIds) {
    others = checkNotNull(vmIds, "vmIds");
    listed = true;
    lastAnswers.keySet().retainAll(vmIds);
  }

  /**
   * Notes an answer.
   *
   * @param drawn whether the VM was drawn evenly from all others, as the sample requires
   */
  void onAnswer(String vmId, long sentAtMillis, Digest digest, boolean drawn) {
    long version = digest.settled() ? digest.version() : Digest.NO_VERSION;
    Finished finished = new Finished(sentAtMillis, Optional.of(version));
    lastAnswers.merge(vmId, finished, Contacts::later);
    if (drawn) {
      addToSample(finished);
    }
  }

  void onFailure(long sentAtMillis) {
    addToSample(new Finished(sentAtMillis, Optional.empty()));
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

  /** Returns whether most of the last finished probes failed, so that the fault may be our own. */
  boolean doubtsItself(long nowMillis) {
    long recent = sample.stream().filter(each -> isRecent(each, nowMillis)).count();
    long failed =
        sample.stream()
            .filter(each -> isRecent(each, nowMillis) && each.version().isEmpty())
            .count();
    return 2 * failed > recent;
  }

  private boolean groupHasMajority(long nowMillis, LongPredicate predicate) {
    long inContact =
        lastAnswers.values().stream().filter(each -> matches(each, nowMillis, predicate)).count();
    return 2 * (inContact + 1) > others.size() + 1;
  }

  private boolean sampleHasMajority(long nowMillis, LongPredicate predicate) {
    long recent = sample.stream().filter(each -> isRecent(each, nowMillis)).count();
    long matching = sample.stream().filter(each -> matches(each, nowMillis, predicate)).count();
    return 2 * recent >= sampleSize && 2 * matching > recent;
  }

  private boolean matches(Finished finished, long nowMillis, LongPredicate predicate) {
    return isRecent(finished, nowMillis)
        && finished.version().isPresent()
        && predicate.test(finished.version().get());
  }

  private boolean isRecent(Finished finished, long nowMillis) {
    return nowMillis - finished.sentAtMillis() < windowMillis;
  }

  private void addToSample(Finished finished) {
    sample.addLast(finished);
    if (sample.size() > sampleSize) {
      sample.removeFirst();
    }
  }

  private static Finished later(Finished first, Finished second) {
    return second.sentAtMillis() >= first.sentAtMillis() ? second : first;
  }
}
