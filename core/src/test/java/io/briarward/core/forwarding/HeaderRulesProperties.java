package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class HeaderRulesProperties {
  private static final String SECRET = "s3cret-key";

  @Provide
  Arbitrary<List<Map.Entry<String, String>>> headers() {
    Arbitrary<String> names =
        Arbitraries.of(
            "Authorization", "authorization", "X-Api-Key", "X-Token", "Cookie", "Accept", "Via");
    Arbitrary<String> values =
        Arbitraries.of("Bearer " + SECRET, SECRET, "x=" + SECRET + ";", "text/plain", "");
    return Combinators.combine(names, values).as(Map::entry).list().ofMaxSize(8);
  }

  @Property(seed = "1")
  void noHeaderToUpstreamContainsKey(@ForAll("headers") List<Map.Entry<String, String>> headers) {
    assertThat(
            HeaderRules.toUpstream(headers, Optional.of(SECRET)).stream()
                .filter(header -> header.getValue().contains(SECRET)))
        .isEmpty();
  }

  @Property(seed = "2")
  void headersNamedByConnectionAreDropped(
      @ForAll("headers") List<Map.Entry<String, String>> headers) {
    List<Map.Entry<String, String>> all = new ArrayList<>(headers);
    all.add(Map.entry("Connection", "close, Accept"));

    assertThat(
            HeaderRules.toUpstream(all, Optional.empty()).stream()
                .filter(header -> header.getKey().equals("Accept")))
        .isEmpty();
  }
}
