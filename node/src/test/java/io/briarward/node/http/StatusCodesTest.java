package io.briarward.node.http;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StatusCodesTest {
  @Test
  void onlyTheClassOfTwoHundredIsSuccess() {
    assertThat(StatusCodes.isSuccess(199)).isFalse();
    assertThat(StatusCodes.isSuccess(200)).isTrue();
    assertThat(StatusCodes.isSuccess(299)).isTrue();
    assertThat(StatusCodes.isSuccess(300)).isFalse();
  }
}
