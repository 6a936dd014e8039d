package io.briarward.standins.engine;

import static com.google.common.base.Preconditions.checkArgument;

import io.briarward.standins.http.Address;
import io.briarward.standins.http.Options;
import java.util.Optional;

/**
 * How a stand-in engine behaves.
 *
 * @param service the id of the service it stands for
 * @param instance its own name
 * @param batchLimit how many completions run at once
 * @param kvLimitTokens how many tokens the running completions may hold together
 * @param prefixCacheTokens how many tokens of prompt prefixes are kept
 * @param stepBaseMicros how long a step takes that generates one token for each running completion
 * @param stepPerSequenceMicros how much each running completion adds to a step
 * @param prefillMicrosPerToken how long one prompt token outside the cache takes
 * @param weightVersion the weight version it starts with
 * @param weightLoadMillis how long fetched weights take to be loaded
 * @param loadLagMillis the lag of load reports
 * @param cacheEventDelayMillis the delay of cache events
 * @param checksFencing whether orders with an old fencing number are refused
 * @param weightStore where weights are fetched from; empty to load without fetching
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
  /** Checks the fields. */
  public EngineSettings {
    checkArgument(batchLimit > 0, "batchLimit is %s, expected > 0", batchLimit);
    checkArgument(kvLimitTokens > 0, "kvLimitTokens is %s, expected > 0", kvLimitTokens);
    checkArgument(stepBaseMicros > 0, "stepBaseMicros is %s, expected > 0", stepBaseMicros);
  }

  /** Takes the settings from options of the same names; the weight store as host:port. */
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
