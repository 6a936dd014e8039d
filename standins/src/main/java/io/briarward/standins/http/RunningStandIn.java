package io.briarward.standins.http;

/** A stand-in that listens. */
public interface RunningStandIn extends AutoCloseable {
  /** Returns the TCP port it listens on. */
  int port();

  /** Stops listening and closes every connection at once, without waiting for it. */
  @Override
  void close();
}
