package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BatchHeadTest {
  private static final BatchHead HEAD =
      new BatchHead(
          "batch",
          "nadi-mill",
          "batch-0",
          new BatchTerms("host", "route", "service", 3, 7_500, 40_000, true),
          Optional.of(new BatchVersions("model", 6, 7)),
          10,
          4,
          false,
          Optional.of("node-1"),
          123,
          "node-1#7");

  @Test
  void roundTripsThroughJson() {
    assertThat(BatchHead.parse(HEAD.toJson())).isEqualTo(HEAD);
    BatchHead released = HEAD.withOwner(Optional.empty(), "t");
    assertThat(BatchHead.parse(released.toJson())).isEqualTo(released);
  }

  @Test
  void batchWithoutVersionsRoundTripsThroughJson() {
    BatchHead head =
        new BatchHead(
            "batch",
            "nadi-mill",
            "batch-0",
            HEAD.terms(),
            Optional.empty(),
            10,
            4,
            false,
            Optional.empty(),
            123,
            "t");
    assertThat(BatchHead.parse(head.toJson())).isEqualTo(head);
  }

  @Test
  void isOpenUntilEndedOrAllResultsListed() {
    assertThat(HEAD.isOpen()).isTrue();
    assertThat(HEAD.withEnded("t").isOpen()).isFalse();
    assertThat(HEAD.withListed(6, "t").isOpen()).isFalse();
    assertThat(HEAD.abandonAtMillis()).isEqualTo(40_123);
  }

  @Test
  void rejectsIncompleteRowsAndExcessResults() {
    assertThrows(
        IllegalArgumentException.class,
        () -> BatchHead.parse(JsonNodeFactory.instance.objectNode().put("id", "x")));
    assertThrows(IllegalArgumentException.class, () -> HEAD.withListed(7, "t"));
  }
}
