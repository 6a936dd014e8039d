package io.briarward.core.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
  private static final byte[] BODY = {1, 2};

  private static RequestFingerprint of(String organisation, String uri, byte... body) {
    return RequestFingerprint.of(Optional.of(organisation), "POST", "mill.example", uri, body);
  }

  @Test
  void sameContentHasTheSameFingerprint() {
    assertThat(of("mill", "/l/7", BODY)).isEqualTo(of("mill", "/l/7", BODY.clone()));
  }

  @Test
  void eachPartOfTheContentCounts() {
    assertThat(
            ImmutableSet.of(
                of("mill", "/l/7", BODY),
                of("paint", "/l/7", BODY),
                of("mill", "/l/8", BODY),
                of("mill", "/l/7", (byte) 1),
                of("mil", "l/l/7", BODY),
                RequestFingerprint.of(Optional.empty(), "POST", "mill.example", "/l/7", BODY),
                RequestFingerprint.of(Optional.of("mill"), "GET", "mill.example", "/l/7", BODY),
                RequestFingerprint.of(Optional.of("mill"), "POST", "paint.example", "/l/7", BODY)))
        .hasSize(8);
  }

  @Test
  void textOfAnotherLengthIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new RequestFingerprint("0f"));
  }
}
