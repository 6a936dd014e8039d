package io.briarward.standins.http;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Named settings given as text, each to be read once. */
public final class Options {
  private final Map<String, String> unread;

  private Options(Map<String, String> values) {
    this.unread = new TreeMap<>(values);
  }

  /** Returns the options with the given values. */
  public static Options of(Map<String, String> values) {
    return new Options(values);
  }

  /** Takes a text. */
  public String text(String name, String fallback) {
    String value = unread.remove(name);
    return value == null ? fallback : value;
  }

  /** Takes a list of texts separated by semicolons. */
  public ImmutableList<String> list(String name) {
    return ImmutableList.copyOf(
        Splitter.on(';').omitEmptyStrings().trimResults().split(text(name, "")));
  }

  /** Takes a map written as {@code a:1;b:2}. */
  public ImmutableMap<String, String> map(String name) {
    ImmutableMap.Builder<String, String> entries = ImmutableMap.builder();
    for (String entry : list(name)) {
      int colon = entry.indexOf(':');
      if (colon <= 0) {
        throw refused(name, entry, "NAME:VALUE");
      }
      entries.put(entry.substring(0, colon), entry.substring(colon + 1));
    }
    return entries.buildKeepingLast();
  }

  /** Takes a whole number. */
  public long number(String name, long fallback) {
    String value = text(name, Long.toString(fallback));
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw refused(name, value, "a whole number");
    }
  }

  /** Takes a number. */
  public double decimal(String name, double fallback) {
    String value = text(name, Double.toString(fallback));
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw refused(name, value, "a number");
    }
  }

  /** Takes true or false. */
  public boolean flag(String name, boolean fallback) {
    String value = text(name, Boolean.toString(fallback));
    if (!value.equals("true") && !value.equals("false")) {
      throw refused(name, value, "true or false");
    }
    return value.equals("true");
  }

  /**
   * Checks that every option was taken.
   *
   * @throws IllegalArgumentException naming the options that the stand-in does not have
   */
  public void checkAllRead() {
    Set<String> unknown = unread.keySet();
    if (!unknown.isEmpty()) {
      throw new IllegalArgumentException("unknown options " + unknown);
    }
  }

  private static IllegalArgumentException refused(String name, String value, String expected) {
    return new IllegalArgumentException(
        "option " + name + " is " + value + ", expected " + expected);
  }
}
