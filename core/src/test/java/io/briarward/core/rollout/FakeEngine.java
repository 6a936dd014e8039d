package io.briarward.core.rollout;

import com.google.common.base.Splitter;
import java.util.HashMap;
import java.util.Map;

/** A sampler whose tokens have unique texts, so that each can be traced to its weight version. */
final class FakeEngine {
  private static final String TOKEN_END = ";";

  private final Map<String, Long> versionByToken = new HashMap<>();
  private long version;

  void loadVersion(long newVersion) {
    version = newVersion;
  }

  long version() {
    return version;
  }

  /** Generates one token and returns its text. */
  String generateToken() {
    String token = "t" + versionByToken.size();
    versionByToken.put(token, version);
    return token + TOKEN_END;
  }

  /** Returns whether the spans name, for each token of the text, the version that generated it. */
  boolean hasCorrectSpans(Sample sample) {
    int index = 0;
    for (String token : Splitter.on(TOKEN_END).omitEmptyStrings().split(sample.text())) {
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

  /**
   * Returns the oldest version that generated any token of the sample, as the engine recorded it.
   */
  long oldestVersion(Sample sample) {
    return Splitter.on(TOKEN_END)
        .omitEmptyStrings()
        .splitToStream(sample.text())
        .mapToLong(versionByToken::get)
        .min()
        .orElseThrow();
  }
}
