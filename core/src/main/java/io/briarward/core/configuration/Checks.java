package io.briarward.core.configuration;

import com.google.common.base.Strings;
import java.util.regex.Pattern;

/** Field checks whose exceptions contain the name of the offending field. */
final class Checks {
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  private Checks() {}

  static String id(String value, String field) {
    check(
        value != null && ID.matcher(value).matches(),
        field,
        value,
        "an id matching [a-z0-9][a-z0-9._-]{0,62}");
    return value;
  }

  static String notEmpty(String value, String field) {
    check(!Strings.isNullOrEmpty(value), field, value, "a non-empty string");
    return value;
  }

  static void range(double value, double min, double max, String field) {
    check(value >= min && value <= max, field, value, "a number from " + min + " to " + max);
  }

  static void check(boolean holds, String field, Object value, String expected) {
    if (!holds) {
      throw new InvalidConfigurationException(field, value + " is invalid, expected " + expected);
    }
  }
}
