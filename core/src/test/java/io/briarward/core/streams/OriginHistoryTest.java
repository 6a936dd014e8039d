package io.briarward.core.streams;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OriginHistoryTest {
  private static final long AGE_MILLIS = OriginHistory.MAX_STREAM_AGE_MILLIS;
  private static final ImmutableSet<String> SERVICES = ImmutableSet.of("llm");
  private static final UpstreamEntry OLD = upstream("a", "llm", "v1");
  private static final UpstreamEntry NEW = upstream("b", "llm", "v2");
  private static final Optional<StreamOrigin> OLD_ORIGIN = Optional.of(StreamOrigin.of(OLD));

  private final OriginHistory history = OriginHistory.create();

  private static UpstreamEntry upstream(String id, String service, String softwareVersion) {
    return new UpstreamEntry(
        id,
        service,
        "nadi",
        "10.0.0.1",
        80,
        1,
        4,
        false,
        false,
        softwareVersion,
        ImmutableMap.of());
  }

  @Test
  void onlyVersionIsSoleOnceItWasFollowedForTheAgeOfStreams() {
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS)).isEmpty();
    history.onGap(0);
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS - 1)).isEmpty();
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS)).isEqualTo(OLD_ORIGIN);
    history.onGap(AGE_MILLIS);
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS + 1)).isEmpty();
  }

  @Test
  void versionsSideBySideHaveNoSoleOrigin() {
    history.onGap(0);
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD, NEW), AGE_MILLIS)).isEmpty();
  }

  @Test
  void versionThatIsGoneCountsForTheAgeOfStreams() {
    history.onGap(0);
    history.onReplaced(NEW, 1_000);
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS + 1_000)).isEmpty();
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD), AGE_MILLIS + 1_001))
        .isEqualTo(OLD_ORIGIN);
  }

  @Test
  void otherServicesDoNotCountUnlessTheRouteNamesThem() {
    history.onGap(0);
    UpstreamEntry other = upstream("c", "desk", "v9");
    assertThat(history.sole(SERVICES, ImmutableList.of(OLD, other), AGE_MILLIS))
        .isEqualTo(OLD_ORIGIN);
    assertThat(
            history.sole(ImmutableSet.of("llm", "desk"), ImmutableList.of(OLD, other), AGE_MILLIS))
        .isEmpty();
  }
}
