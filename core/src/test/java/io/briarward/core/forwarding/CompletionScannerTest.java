package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CompletionScannerTest {
  private static final String STREAM =
      "data: {\"tokens\":3}\n\ndata: {\"tokens\":2,\"usage\":{\"prompt_tokens\":7,"
          + "\"completion_tokens\":5}}\n\ndata: [DONE]\n\n";

  @Property(seed = "3")
  void tokenCountsDoNotDependOnChunkSize(@ForAll @IntRange(min = 1, max = 40) int size) {
    CompletionScanner scanner = CompletionScanner.of("text/event-stream");
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < bytes.length; i += size) {
      scanner.add(java.util.Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + size)));
    }

    assertThat(scanner.complete()).isTrue();
    assertThat(scanner.promptTokens()).isEqualTo(7);
    assertThat(scanner.completionTokens()).isEqualTo(5);
  }

  @Test
  void streamWithoutEndMarkerIsNotComplete() {
    CompletionScanner scanner = CompletionScanner.of("text/event-stream");
    scanner.add("data: {\"tokens\":3}\n\n".getBytes(StandardCharsets.UTF_8));
    scanner.end();

    assertThat(scanner.complete()).isFalse();
    assertThat(scanner.completionTokens()).isEqualTo(3);
  }
}
