package io.briarward.core.distribution;

/** Reads and prints deltas as JSON, for messages between the nodes. Thread-safe. */
public final class DeltaCodec {
  private DeltaCodec() {}

  /** Prints a delta without white space. */
  public static String print(ConfigurationDelta delta) {
    return Json.toTree(delta).toString();
  }

  /**
   * Parses a delta.
   *
   * @throws IllegalArgumentException when the text is not a delta
   */
  public static ConfigurationDelta parse(String json) {
    return Json.fromTree(Json.read(json), ConfigurationDelta.class);
  }
}
