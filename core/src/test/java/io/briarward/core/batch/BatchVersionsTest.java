package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class BatchVersionsTest {
  @Test
  void allowedLagIsAnnouncedMinusMinVersion() {
    assertThat(new BatchVersions("m", 6, 7).allowedLag()).isEqualTo(1);
    assertThat(new BatchVersions("m", 7, 7).allowedLag()).isEqualTo(0);
  }

  @Test
  void allowedLagIsZeroIfAnnouncedVersionIsOlder() {
    assertThat(new BatchVersions("m", 7, 6).allowedLag()).isEqualTo(0);
  }
}
