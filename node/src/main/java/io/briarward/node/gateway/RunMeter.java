package io.briarward.node.gateway;

/** Counts the requests that started to run, for billing. */
@FunctionalInterface
public interface RunMeter {
  /** Counts one request of {@code organisation} that started to run at {@code wallMillis}. */
  void onRun(String organisation, long wallMillis);
}
