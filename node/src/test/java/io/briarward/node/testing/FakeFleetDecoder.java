package io.briarward.node.testing;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.FleetService;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.fleet.FleetDecoder;
import java.util.Optional;

/**
 * A decoder of a simplified row format, with routes of batches, streams and reward calls and the
 * service of each.
 */
public final class FakeFleetDecoder implements FleetDecoder {
  /** The id of the service on which batches run. */
  public static final String SAMPLERS = "samplers";

  /** The id of the service that scores texts. */
  public static final String SCORERS = "scorers";

  /** The id of another service that scores texts. */
  public static final String OTHER_SCORERS = "other-scorers";

  /** The prefix of the keys of rows that evacuate a data centre. */
  public static final String EVACUATION_PREFIX = "evacuate/";

  /** The host of the routes. */
  public static final String HOST = "mill.example";

  /** The version of a row of a sampler that cannot be decoded for a reason not foreseen. */
  public static final long UNFORESEEN_VERSION = -7;

  /** Returns a configuration row, in which only the version varies. */
  public static JsonNode configurationRow(long version) {
    return JsonNodeFactory.instance.objectNode().put("version", version);
  }

  /** Returns a configuration row in which resumable streams run on the given service. */
  public static JsonNode configurationRow(long version, String streamService) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", version)
        .put("streamService", streamService);
  }

  /** Returns a configuration row in which two models run on the samplers. */
  public static JsonNode configurationRowOfTwoModels(long version) {
    return JsonNodeFactory.instance.objectNode().put("version", version).put("otherModel", "n");
  }

  /** Returns a configuration row in which a sampler holds the given number of tokens. */
  public static JsonNode configurationRowWithCapacity(long version, long tokenCapacity) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", version)
        .put("tokenCapacity", tokenCapacity);
  }

  /** Returns the row of a sampler that has a weight version of the model {@code m} loaded. */
  public static JsonNode samplerRow(long version, boolean leaving) {
    return JsonNodeFactory.instance.objectNode().put("version", version).put("leaving", leaving);
  }

  /** Returns the row of a sampler of the given software version with weight version 1. */
  public static JsonNode samplerRow(String softwareVersion) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", 1)
        .put("leaving", false)
        .put("software", softwareVersion);
  }

  /** Returns the row of an upstream of a service that scores texts. */
  public static JsonNode scorerRow(String service) {
    return JsonNodeFactory.instance.objectNode().put("version", 1).put("service", service);
  }

  private static FleetRoute rewardRoute(String name, String pathPrefix, String service) {
    return new FleetRoute(
        name,
        HOST,
        pathPrefix,
        FleetRoute.Kind.IDEMPOTENT,
        ImmutableList.of(new FleetRoute.Target(service, 1)),
        10_000,
        400,
        2,
        1,
        true,
        0,
        0,
        false);
  }

  private static ImmutableMap<String, FleetService> services(JsonNode configuration) {
    if (!configuration.has("otherModel") && !configuration.has("tokenCapacity")) {
      return ImmutableMap.of();
    }
    ImmutableList<String> models =
        configuration.has("otherModel")
            ? ImmutableList.of("m", configuration.path("otherModel").asText())
            : ImmutableList.of("m");
    long tokenCapacity = configuration.path("tokenCapacity").asLong();
    return ImmutableMap.of(
        SAMPLERS, new FleetService(SAMPLERS, 64, tokenCapacity, models, Optional.empty()));
  }

  @Override
  public String operatorTable() {
    return "operators";
  }

  @Override
  public String upstreamTable() {
    return "upstreams";
  }

  @Override
  public String configurationKey() {
    return "configuration";
  }

  @Override
  public FleetConfiguration configuration(JsonNode value) {
    return new FleetConfiguration(
        value.path("version").asLong(),
        ImmutableList.of(
            new FleetRoute(
                "batches",
                HOST,
                "/b/",
                FleetRoute.Kind.BATCH,
                ImmutableList.of(new FleetRoute.Target(SAMPLERS, 1)),
                10_000,
                500,
                3,
                0,
                false,
                7_500,
                40_000,
                false),
            new FleetRoute(
                "streams",
                HOST,
                "/t/",
                FleetRoute.Kind.RESUMABLE_STREAM,
                ImmutableList.of(
                    new FleetRoute.Target(value.path("streamService").asText(SAMPLERS), 1)),
                10_000,
                500,
                3,
                0,
                false,
                0,
                0,
                false),
            rewardRoute("rewards", "/r/", SCORERS),
            rewardRoute("other-rewards", "/s/", OTHER_SCORERS)),
        services(value),
        ImmutableMap.of("key", "nadi-mill"),
        true,
        new FleetConfiguration.CallerLimits(16_384, 1 << 20, 15_000));
  }

  @Override
  public Optional<Announcement> announcement(String key, JsonNode value) {
    return Optional.of(new Announcement(key, value.path("version").asLong()));
  }

  @Override
  public Optional<String> evacuatedDataCentre(String key) {
    return key.startsWith(EVACUATION_PREFIX)
        ? Optional.of(key.substring(EVACUATION_PREFIX.length()))
        : Optional.empty();
  }

  @Override
  public Optional<String> coldDefect(JsonNode value) {
    return value.path("coldMillis").asLong() < 0
        ? Optional.of("coldMillis is negative")
        : Optional.empty();
  }

  @Override
  public UpstreamEntry upstream(String id, JsonNode value) {
    checkArgument(value.has("version"), "version is missing");
    if (value.path("version").asLong() == UNFORESEEN_VERSION) {
      throw new ArithmeticException("integer overflow");
    }
    return new UpstreamEntry(
        id,
        value.path("service").asText(SAMPLERS),
        value.path("dataCentre").asText("nadi"),
        "10.0.0.1",
        80,
        1,
        4,
        value.path("leaving").asBoolean(),
        false,
        value.path("software").asText("1"),
        ImmutableMap.of("m", value.path("version").asLong()),
        Math.max(0, value.path("coldMillis").asLong()));
  }
}
