package io.briarward.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import io.briarward.standins.http.Address;
import io.briarward.standins.http.Options;
import java.util.Optional;

/**
 * The settings of a stand-in engine.
 *
 * @param service the id of the service that the engine belongs to
 * @param instance the name of this engine
 * @param batchLimit the maximum number of concurrent completions
 * @param kvLimitTokens the maximum number of KV cache tokens of all running completions
 * @param prefixCacheTokens the capacity of the prefix cache
 * @param stepBaseMicros the fixed part of a step's duration
 * @param stepPerSequenceMicros the part of a step's duration that each running completion adds
 * @param prefillMicrosPerToken the prefill time per prompt token that is not cached
 * @param weightVersion the initial weight version
 * @param weightLoadMillis how long it takes to load weights after they are fetched
 * @param loadLagMillis the lag of load reports
 * @param cacheEventDelayMillis the delay before cache events are published
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param weightStore where weights are fetched from, or empty to load without fetching
 */
public record EngineSettings(
    String service,
    String instance,
    int batchLimit,
    long kvLimitTokens,
    long prefixCacheTokens,
    long stepBaseMicros,
    long stepPerSequenceMicros,
    long prefillMicrosPerToken,
    long weightVersion,
    long weightLoadMillis,
    long loadLagMillis,
    long cacheEventDelayMillis,
    boolean checksFencing,
    Optional<Address> weightStore) {
  /** Validates the components. */
  public EngineSettings {
    checkArgument(batchLimit > 0, "batchLimit is %s, expected > 0", batchLimit);
    checkArgument(kvLimitTokens > 0, "kvLimitTokens is %s, expected > 0", kvLimitTokens);
    checkArgument(stepBaseMicros > 0, "stepBaseMicros is %s, expected > 0", stepBaseMicros);
  }

  /**
   * Reads the settings from the options of the same names; the weight store is given as {@code
   * host:port}.
   *
   * @throws IllegalArgumentException if a value is invalid
   */
  public static EngineSettings from(Options options) {
    String weightStore = options.text("weightStore", "");
    return new EngineSettings(
        options.text("service", "model"),
        options.text("instance", "engine-1"),
        Math.toIntExact(options.number("batchLimit", 16)),
        options.number("kvLimitTokens", 65_536),
        options.number("prefixCacheTokens", 4_096),
        options.number("stepBaseMicros", 4_000),
        options.number("stepPerSequenceMicros", 250),
        options.number("prefillMicrosPerToken", 100),
        options.number("weightVersion", 1),
        options.number("weightLoadMillis", 200),
        options.number("loadLagMillis", 200),
        options.number("cacheEventDelayMillis", 500),
        options.flag("checksFencing", true),
        weightStore.isEmpty() ? Optional.empty() : Optional.of(Address.parse(weightStore)));
  }
}
