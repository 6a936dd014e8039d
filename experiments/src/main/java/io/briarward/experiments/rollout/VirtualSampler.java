package io.briarward.experiments.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A sampler that generates a fixed number of tokens per second and sample. Not thread-safe. */
final class VirtualSampler {
  private final String id;
  private final int batchLimit;
  private final double tokensPerMillis;
  private final List<VirtualAttempt> attempts = new ArrayList<>();
  private long version;
  private OptionalLong loading = OptionalLong.empty();
  private long loadedAtMillis;
  private boolean loadSucceeds;
  private long slowUntilMillis;
  private double slowdown = 1;

  VirtualSampler(String id, int batchLimit, double tokensPerSecond, long version) {
    this.id = id;
    this.batchLimit = batchLimit;
    this.tokensPerMillis = tokensPerSecond / 1_000;
    this.version = version;
  }

  String id() {
    return id;
  }

  long version() {
    return version;
  }

  OptionalLong loading() {
    return loading;
  }

  int inFlight() {
    return attempts.size();
  }

  void start(VirtualAttempt attempt) {
    attempts.add(attempt);
  }

  void cancel(String attemptId) {
    attempts.removeIf(attempt -> attempt.id().equals(attemptId));
  }

  void slowDown(double factor, long untilMillis) {
    slowdown = factor;
    slowUntilMillis = untilMillis;
  }

  void load(long next, long doneAtMillis, boolean success) {
    loading = OptionalLong.of(next);
    loadedAtMillis = doneAtMillis;
    loadSucceeds = success;
  }

  /** Advances the running batch; generates nothing while weights are being loaded. */
  void advance(long nowMillis, long stepMillis, AttemptListener listener) {
    if (loading.isPresent() && nowMillis >= loadedAtMillis) {
      version = loadSucceeds ? loading.getAsLong() : version;
      loading = OptionalLong.empty();
    }
    if (loading.isPresent()) {
      return;
    }
    double factor = nowMillis < slowUntilMillis ? slowdown : 1;
    double produced = tokensPerMillis * stepMillis / factor;
    List<VirtualAttempt> batch =
        new ArrayList<>(attempts.subList(0, Math.min(batchLimit, attempts.size())));
    for (VirtualAttempt attempt : batch) {
      int tokens = attempt.advance(produced);
      boolean finished = attempt.isFinished();
      if (finished) {
        attempts.remove(attempt);
      }
      listener.onProgress(attempt.id(), tokens, version, finished);
    }
  }

  /** Receives the tokens that a sampler generates. */
  @FunctionalInterface
  interface AttemptListener {
    void onProgress(String attemptId, int tokens, long version, boolean finished);
  }
}
