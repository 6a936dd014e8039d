package io.briarward.experiments.demo;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.FormatMethod;
import com.google.errorprone.annotations.FormatString;
import java.util.ArrayList;
import java.util.List;

/** Collects the wrong, lost, duplicated or wrongly billed answers found. Thread-safe. */
final class Findings {
  private final List<String> faults = new ArrayList<>();

  /** Records a fault unless the condition holds. */
  @FormatMethod
  synchronized void expect(boolean holds, @FormatString String template, Object... arguments) {
    if (!holds) {
      faults.add(String.format(template, arguments));
    }
  }

  synchronized ImmutableList<String> faults() {
    return ImmutableList.copyOf(faults);
  }
}
