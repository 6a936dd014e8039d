package io.briarward.operator;

import io.briarward.core.configuration.InvalidConfigurationException;
import java.util.function.Supplier;

/** Prepends the path of the enclosing part to the path of an invalid field. */
final class FieldPath {
  /** The length of the separator between path and reason in the exception's message. */
  private static final int SEPARATOR_CHARS = 2;

  private FieldPath() {}

  /**
   * Returns the supplied part.
   *
   * @throws InvalidConfigurationException if the part is invalid, with the path below {@code
   *     parent}
   */
  static <T> T within(String parent, Supplier<T> part) {
    try {
      return part.get();
    } catch (InvalidConfigurationException e) {
      String reason = e.getMessage().substring(e.path().length() + SEPARATOR_CHARS);
      throw new InvalidConfigurationException(parent + "." + e.path(), reason);
    }
  }
}
