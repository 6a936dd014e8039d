package io.briarward.standins.http;

/** A stand-in that accepts connections. */
public interface RunningStandIn extends AutoCloseable {
  /** Returns the TCP port that the stand-in listens on. */
  int port();

  /** Stops listening and closes every connection, without waiting until that is done. */
  @Override
  void close();
}
