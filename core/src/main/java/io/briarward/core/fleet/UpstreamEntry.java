package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * The registration of an upstream.
 *
 * @param id the id of the upstream, which it may keep after a restart
 * @param startedAtMillis when it started, in milliseconds since the Unix epoch; 0 if it is not
 *     reported
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it is draining and gets no new requests
 * @param reclaimable whether the platform may reclaim it at short notice
 * @param softwareVersion the version of its software, not of its weights; streams of two versions
 *     do not fit together
 * @param modelVersions the weight version of each model that it runs
 * @param coldMillis for how long it stays cold from when the registration is read, in milliseconds;
 *     0 if it is not cold
 */
public record UpstreamEntry(
    String id,
    String service,
    String dataCentre,
    String host,
    int port,
    long startedAtMillis,
    int slots,
    boolean leaving,
    boolean reclaimable,
    String softwareVersion,
    ImmutableMap<String, Long> modelVersions,
    long coldMillis) {

  /** Checks the fields. */
  public UpstreamEntry {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(service, "service");
    checkNotNull(dataCentre, "dataCentre");
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port > 0 && port <= 65_535, "port is %s, expected 1 to 65535", port);
    checkArgument(slots > 0, "slots is %s, expected > 0", slots);
    checkNotNull(softwareVersion, "softwareVersion");
    checkNotNull(modelVersions, "modelVersions");
    checkArgument(coldMillis >= 0, "coldMillis is %s, expected >= 0", coldMillis);
  }

  /** Creates the registration of an upstream that is not cold. */
  public UpstreamEntry(
      String id,
      String service,
      String dataCentre,
      String host,
      int port,
      long startedAtMillis,
      int slots,
      boolean leaving,
      boolean reclaimable,
      String softwareVersion,
      ImmutableMap<String, Long> modelVersions) {
    this(
        id,
        service,
        dataCentre,
        host,
        port,
        startedAtMillis,
        slots,
        leaving,
        reclaimable,
        softwareVersion,
        modelVersions,
        0);
  }

  /** Returns this entry as that of a leaving upstream. */
  UpstreamEntry asLeaving() {
    return with(true, coldMillis);
  }

  /** Returns this entry with another remaining time for which the upstream is cold. */
  public UpstreamEntry withColdMillis(long millis) {
    return with(leaving, millis);
  }

  private UpstreamEntry with(boolean isLeaving, long millis) {
    return new UpstreamEntry(
        id,
        service,
        dataCentre,
        host,
        port,
        startedAtMillis,
        slots,
        isLeaving,
        reclaimable,
        softwareVersion,
        modelVersions,
        millis);
  }

  /** Returns a key that identifies the upstream from its start to its end. */
  public String instanceKey() {
    return id + '/' + startedAtMillis;
  }

  /** Returns the weight version that it runs of the given model, 0 if it does not run the model. */
  public long version(String model) {
    return modelVersions.getOrDefault(model, 0L);
  }
}
