package io.briarward.standins.input;

import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Changes valid input as a faulty sender or a damaged connection does. */
public final class RandomChanges {
  private static final int MAX_CHANGES = 6;
  private static final int MAX_CHANGED_CHARS = 8;
  private static final int MAX_REPETITIONS = 20_000;

  private RandomChanges() {}

  /** Returns a text with a few characters replaced, removed, repeated or inserted, as bytes. */
  public static byte[] change(String text, Random random) {
    StringBuilder changed = new StringBuilder(text);
    int changes = 1 + random.nextInt(MAX_CHANGES);
    for (int i = 0; i < changes && changed.length() > 2; i++) {
      int at = random.nextInt(changed.length() - 1);
      int end = Math.min(changed.length(), at + 1 + random.nextInt(MAX_CHANGED_CHARS));
      switch (random.nextInt(5)) {
        case 0 -> changed.delete(at, end);
        case 1 -> changed.insert(at, changed.substring(at, end));
        case 2 -> changed.setCharAt(at, (char) random.nextInt(256));
        case 3 -> changed.replace(at, end, "-99999999999999999999e9");
        default -> changed.replace(at, end, "null");
      }
    }
    return bytes(changed.toString());
  }

  /**
   * Returns a text that was changed, cut off, or lengthened at one place by many repetitions, as
   * bytes.
   */
  public static byte[] damage(String text, Random random) {
    int at = random.nextInt(text.length());
    return switch (random.nextInt(4)) {
      case 0 -> bytes(text.substring(0, at));
      case 1 ->
          bytes(
              text.substring(0, at)
                  + text.substring(at, at + 1).repeat(1 + random.nextInt(MAX_REPETITIONS))
                  + text.substring(at));
      default -> change(text, random);
    };
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
