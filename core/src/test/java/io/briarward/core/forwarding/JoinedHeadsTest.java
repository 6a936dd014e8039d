package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class JoinedHeadsTest {
  private static boolean isJoined(String reasonPhrase, ImmutableMap<String, String> headers) {
    return JoinedHeads.isJoined(reasonPhrase, headers.entrySet());
  }

  @Test
  void headOfOneResponseIsNotJoined() {
    assertThat(isJoined("OK", ImmutableMap.of("Via", "HTTP/1.1 proxy", "Content-Length", "5")))
        .isFalse();
    assertThat(isJoined("", ImmutableMap.of())).isFalse();
  }

  @Test
  void statusLineWithinReasonPhraseIsJoined() {
    assertThat(isJoined("OHTTP/1.1 500 Failed", ImmutableMap.of())).isTrue();
  }

  @Test
  void statusLineWithinHeaderIsJoined() {
    assertThat(isJoined("OK", ImmutableMap.of("Content-Type", "teHTTP/1.1 500 Failed"))).isTrue();
  }
}
