package io.briarward.core.keys;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class KeyIndexTest {
  private static final ApiKey KEY =
      new ApiKey(
          "key-1",
          "mill",
          Hashing.sha256().hashString("secret", StandardCharsets.UTF_8).toString(),
          ImmutableSet.of(ApiKey.Scope.CALL));

  private static final Configuration CONFIGURATION =
      new Configuration(
          ImmutableList.of(),
          ImmutableList.of(new Partner("partner", 0.5)),
          ImmutableList.of(new Organisation("mill", "partner", 1, 10, 10)),
          ImmutableList.of(KEY),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of(),
          ImmutableList.of());

  @Test
  void findsKeyBySecret() {
    assertThat(KeyIndex.of(CONFIGURATION).find("secret")).hasValue(KEY);
  }

  @Test
  void doesNotFindKeyByHash() {
    assertThat(KeyIndex.of(CONFIGURATION).find(KEY.sha256())).isEmpty();
  }

  @Test
  void doesNotGrantWithdrawnKey() {
    KeyIndex index = KeyIndex.of(CONFIGURATION.withoutKey("key-1"));

    assertThat(index.grants(KEY)).isFalse();
    assertThat(index.find("secret")).isEmpty();
  }
}
