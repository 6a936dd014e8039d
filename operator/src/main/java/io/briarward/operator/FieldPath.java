package io.briarward.operator;

import io.briarward.core.configuration.InvalidConfigurationException;
import java.util.function.Supplier;

/** Puts the path of the enclosing part before that of an offending field. */
final class FieldPath {
  private static final int SEPARATOR_CHARS = 2;

  private FieldPath() {}

  static <T> T within(String parent, Supplier<T> part) {
    try {
      return part.get();
    } catch (InvalidConfigurationException e) {
      String reason = e.getMessage().substring(e.path().length() + SEPARATOR_CHARS);
      throw new InvalidConfigurationException(parent + "." + e.path(), reason);
    }
  }
}
