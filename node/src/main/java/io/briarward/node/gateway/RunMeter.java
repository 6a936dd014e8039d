package io.briarward.node.gateway;

/** Counts the requests that began to run, for the bill. */
@FunctionalInterface
public interface RunMeter {
  /** Counts a request of an organisation that began to run at a time of the wall clock. */
  void onRun(String organisation, long wallMillis);
}
