package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Route;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteTableTest {
  private static final Route SHORT_PREFIX = route("*", "/v1");
  private static final Route LONG_PREFIX = route("*", "/v1/chat");
  private static final Route EXACT_HOST = route("mill.example", "/");

  private final RouteTable table =
      RouteTable.of(ImmutableList.of(SHORT_PREFIX, LONG_PREFIX, EXACT_HOST));

  @Test
  void longestMatchingPrefixIsChosen() {
    assertThat(table.find("x", "/v1/chat/a")).hasValue(LONG_PREFIX);
  }

  @Test
  void prefixMatchesWholeSegmentsOnly() {
    assertThat(table.find("x", "/v10")).isEmpty();
  }

  @Test
  void exactHostTakesPrecedenceOverAnyHost() {
    assertThat(table.find("MILL.example", "/v1/chat")).hasValue(EXACT_HOST);
  }

  private static Route route(String host, String prefix) {
    return new Route(host, prefix, "s", false, false, 1_000, 1, Optional.empty());
  }
}
