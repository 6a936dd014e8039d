package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

/** Creates configurations for measurements and tests. */
final class Documents {
  private Documents() {}

  /** Returns a configuration with one organisation and {@code count} keys named key-0 and so on. */
  static Configuration withKeys(int count) {
    return new Configuration(
        ImmutableList.of(),
        ImmutableList.of(new Partner("partner", 0.5)),
        ImmutableList.of(new Organisation("mill", "partner", 1, 10, 10)),
        IntStream.range(0, count).mapToObj(Documents::key).collect(ImmutableList.toImmutableList()),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of());
  }

  private static ApiKey key(int index) {
    String hash = Hashing.sha256().hashString("secret-" + index, StandardCharsets.UTF_8).toString();
    return new ApiKey("key-" + index, "mill", hash, ImmutableSet.of(ApiKey.Scope.CALL));
  }
}
