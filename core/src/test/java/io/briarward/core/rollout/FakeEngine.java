package io.briarward.core.rollout;

import com.google.common.base.Splitter;
import java.util.HashMap;
import java.util.Map;

/** A sampler whose every token has a text of its own, so that its record shows who produced it. */
final class FakeEngine {
  private static final String END = ";";

  private final Map<String, Long> versionByToken = new HashMap<>();
  private long version;

  void swap(long next) {
    version = next;
  }

  long version() {
    return version;
  }

  /** Produces one token and returns its text. */
  String produce() {
    String token = "t" + versionByToken.size();
    versionByToken.put(token, version);
    return token + END;
  }

  /** Returns whether the spans name, for each token of the text, the version that produced it. */
  boolean produced(Sample sample) {
    int index = 0;
    for (String token : Splitter.on(END).omitEmptyStrings().split(sample.text())) {
      if (versionByToken.get(token) != versionAt(sample, index)) {
        return false;
      }
      index++;
    }
    return index == sample.tokens();
  }

  private static long versionAt(Sample sample, int index) {
    return sample.weightVersions().stream()
        .filter(span -> span.start() <= index && index < span.end())
        .mapToLong(VersionSpan::version)
        .findFirst()
        .orElse(-1);
  }

  /** Returns the oldest version that produced any token of the sample, by the engine's record. */
  long oldestVersion(Sample sample) {
    return Splitter.on(END)
        .omitEmptyStrings()
        .splitToStream(sample.text())
        .mapToLong(versionByToken::get)
        .min()
        .orElseThrow();
  }
}
