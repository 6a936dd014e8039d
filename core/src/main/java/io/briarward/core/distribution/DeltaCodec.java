package io.briarward.core.distribution;

/** Converts deltas to and from JSON, for messages between nodes. Thread-safe. */
public final class DeltaCodec {
  private DeltaCodec() {}

  /** Returns a delta as JSON without whitespace. */
  public static String print(ConfigurationDelta delta) {
    return Json.toTree(delta).toString();
  }

  /**
   * Parses a delta.
   *
   * @throws IllegalArgumentException if the text is not a delta
   */
  public static ConfigurationDelta parse(String json) {
    return Json.fromTree(Json.read(json), ConfigurationDelta.class);
  }
}
