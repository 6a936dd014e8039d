package io.briarward.standins.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Named options with textual values.
 *
 * <p>Each option may be read once; {@link #checkAllRead} then detects unknown options. Methods that
 * convert a value throw {@link IllegalArgumentException} if it is malformed. Not thread-safe.
 */
public final class Options {
  private final Map<String, String> unread;

  private Options(Map<String, String> values) {
    this.unread = new TreeMap<>(values);
  }

  /** Returns options with the given values. */
  public static Options of(Map<String, String> values) {
    return new Options(values);
  }

  /** Reads a string. */
  public String text(String name, String defaultValue) {
    String value = unread.remove(name);
    return value == null ? defaultValue : value;
  }

  /** Reads a list of strings separated by semicolons. */
  public ImmutableList<String> list(String name) {
    return ImmutableList.copyOf(
        Splitter.on(';').omitEmptyStrings().trimResults().split(text(name, "")));
  }

  /** Reads a map in the format {@code a:1;b:2}. */
  public ImmutableMap<String, String> map(String name) {
    ImmutableMap.Builder<String, String> entries = ImmutableMap.builder();
    for (String entry : list(name)) {
      int colon = entry.indexOf(':');
      if (colon <= 0) {
        throw invalid(name, entry, "NAME:VALUE");
      }
      entries.put(entry.substring(0, colon), entry.substring(colon + 1));
    }
    return entries.buildKeepingLast();
  }

  /** Reads an integer. */
  public long number(String name, long defaultValue) {
    String value = text(name, Long.toString(defaultValue));
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw invalid(name, value, "an integer");
    }
  }

  /** Reads a floating-point number. */
  public double decimal(String name, double defaultValue) {
    String value = text(name, Double.toString(defaultValue));
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw invalid(name, value, "a number");
    }
  }

  /** Reads {@code true} or {@code false}. */
  public boolean flag(String name, boolean defaultValue) {
    String value = text(name, Boolean.toString(defaultValue));
    if (!value.equals("true") && !value.equals("false")) {
      throw invalid(name, value, "true or false");
    }
    return value.equals("true");
  }

  /**
   * Checks that every option was read.
   *
   * @throws IllegalArgumentException if there are unknown options
   */
  public void checkAllRead() {
    Set<String> unknown = unread.keySet();
    if (!unknown.isEmpty()) {
      throw new IllegalArgumentException("unknown options " + unknown);
    }
  }

  private static IllegalArgumentException invalid(String name, String value, String expected) {
    return new IllegalArgumentException(
        "option " + name + " is " + value + ", expected " + expected);
  }
}
