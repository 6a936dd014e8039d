package io.briarward.experiments.membership;

import java.util.Random;

/** Delivers messages with delays, losses, duplicates and cut links. Not thread-safe. */
final class VirtualNetwork {
  private static final int MIN_DELAY_MILLIS = 1;
  private static final int MAX_DELAY_MILLIS = 40;

  /** Determines which links are cut, for each direction. */
  @FunctionalInterface
  interface Cuts {
    boolean isCut(String fromVmId, String toVmId);
  }

  private final VirtualTime time;
  private final Random random;
  private Cuts cuts = (from, to) -> false;
  private double lossShare;
  private double duplicateShare;
  private long messages;

  VirtualNetwork(VirtualTime time, Random random) {
    this.time = time;
    this.random = random;
  }

  void setCuts(Cuts next) {
    cuts = next;
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  void setDuplicateShare(double share) {
    duplicateShare = share;
  }

  long messages() {
    return messages;
  }

  void send(String from, String to, Runnable delivery) {
    messages++;
    if (cuts.isCut(from, to) || random.nextDouble() < lossShare) {
      return;
    }
    time.schedule(delayMillis(), delivery);
    if (random.nextDouble() < duplicateShare) {
      time.schedule(delayMillis(), delivery);
    }
  }

  private long delayMillis() {
    return random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
  }
}
