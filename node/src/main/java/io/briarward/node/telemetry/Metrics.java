package io.briarward.node.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The metrics of one node. Thread-safe. */
public final class Metrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("briarward_requests_total")
          .help("Live requests by service and outcome; the outcome is ok or an error kind.")
          .labelNames("service", "outcome")
          .register(registry);
  private final Counter retries =
      Counter.builder()
          .name("briarward_retries_total")
          .help("Attempts of live requests after the first.")
          .labelNames("service")
          .register(registry);
  private final Gauge inFlight =
      Gauge.builder()
          .name("briarward_requests_in_flight")
          .help("Live requests that run at present.")
          .register(registry);
  private final Gauge configurationVersion =
      Gauge.builder()
          .name("briarward_configuration_version")
          .help("Version of the configuration in force on this node.")
          .register(registry);
  private final Gauge membersAlive =
      Gauge.builder()
          .name("briarward_members_alive")
          .help("VMs that this node thinks alive, itself included.")
          .register(registry);
  private final Gauge keysUsable =
      Gauge.builder()
          .name("briarward_keys_usable")
          .help("1 while this node may serve routes that need a key, 0 otherwise.")
          .register(registry);
  private final Gauge usageUnprotected =
      Gauge.builder()
          .name("briarward_usage_unprotected")
          .help("Answers since the start whose usage had no copy outside this VM when they left.")
          .register(registry);
  private final Histogram durationSeconds =
      Histogram.builder()
          .name("briarward_request_duration_seconds")
          .help("Time from the first byte of a live request to the last byte of its answer.")
          .labelNames("service")
          .register(registry);

  private final Gauge coldUpstreams =
      Gauge.builder()
          .name("briarward_cold_upstreams")
          .help("Upstreams that this node knows to be cold and paces its requests to.")
          .register(registry);
  private final Gauge evacuatedDataCentres =
      Gauge.builder()
          .name("briarward_evacuated_data_centres")
          .help("Data centres whose upstreams get no requests, by the operator's rows.")
          .register(registry);
  private final Counter rewardCalls =
      Counter.builder()
          .name("briarward_reward_calls_total")
          .help("Reward calls by service and outcome.")
          .labelNames("service", "outcome")
          .register(registry);
  private final Histogram rewardCallSeconds =
      Histogram.builder()
          .name("briarward_reward_call_duration_seconds")
          .help("Time from the start of a reward call to its end.")
          .labelNames("service")
          .register(registry);

  private final Counter batchTakeovers =
      Counter.builder()
          .name("briarward_batch_takeovers_total")
          .help("Batches that this node claimed, by the reason why they had no live owner.")
          .labelNames("reason")
          .register(registry);

  private final Counter itemStarts =
      Counter.builder()
          .name("briarward_item_starts_total")
          .help("Runs of items that were started with an urgency class, by class.")
          .labelNames("urgency")
          .register(registry);

  private Metrics() {
    CounterWithCallback.builder()
        .name("briarward_log_writes_lost_total")
        .help("Writes to standard output and error that were dropped since nobody read them.")
        .callback(callback -> callback.call(ProcessOutput.lostWrites()))
        .register(registry);
  }

  /** Returns the metrics of a new node, all at their initial values. */
  public static Metrics create() {
    return new Metrics();
  }

  /** Returns the registry, in which other components of the node register their metrics. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Counts a finished live request and records its duration. */
  public void requestFinished(String service, String outcome, double durationSeconds) {
    requests.labelValues(service, outcome).inc();
    this.durationSeconds.labelValues(service).observe(durationSeconds);
  }

  /** Counts an attempt of a live request after the first. */
  public void retried(String service) {
    retries.labelValues(service).inc();
  }

  /** Sets the number of live requests in flight. */
  public void inFlight(int count) {
    inFlight.set(count);
  }

  /** Sets the version of the configuration in force. */
  public void configurationVersion(long version) {
    configurationVersion.set((double) version);
  }

  /** Sets the number of VMs that this node considers alive, itself included. */
  public void membersAlive(int count) {
    membersAlive.set(count);
  }

  /** Sets whether this node may serve routes that require a key. */
  public void keysUsable(boolean usable) {
    keysUsable.set(usable ? 1 : 0);
  }

  /** Sets the number of responses sent before their usage had a copy outside this VM. */
  public void usageUnprotected(long count) {
    usageUnprotected.set((double) count);
  }

  /** Sets the number of upstreams that are cold. */
  public void coldUpstreams(int count) {
    coldUpstreams.set(count);
  }

  /** Sets the number of evacuated data centres. */
  public void evacuatedDataCentres(int count) {
    evacuatedDataCentres.set(count);
  }

  /** Counts a finished reward call and records its duration. */
  public void rewardCallFinished(String service, String outcome, double durationSeconds) {
    rewardCalls.labelValues(service, outcome).inc();
    rewardCallSeconds.labelValues(service).observe(durationSeconds);
  }

  /** Counts a batch that this node claims. */
  public void batchTakenOver(String reason) {
    batchTakeovers.labelValues(reason).inc();
  }

  /** Counts a run of an item that was started with an urgency class. */
  public void itemStarted(int urgency) {
    itemStarts.labelValues(Integer.toString(urgency)).inc();
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
