package io.briarward.core.fleet;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * What this node knows of the load of each upstream.
 *
 * <p>The number of this node's own requests in flight is exact. What an upstream reported in its
 * latest response is aged: the requests of other nodes with a half-life of about the time of a
 * request, since as many have ended by then, and the slowness with a shorter one, since it changes
 * many times a second. The part that has aged is replaced by the mean of the service, which itself
 * ages to an idle upstream of the usual speed. Not thread-safe.
 */
final class LoadView {
  /** The half-life of a reported slowness, in milliseconds. */
  private static final double SLOWNESS_HALF_LIFE_MILLIS = 100;

  /** The half-life of an upstream's own duration against the usual one, in milliseconds. */
  private static final double DURATION_HALF_LIFE_MILLIS = 1_000;

  /** The half-life of reported requests while no duration is known, in milliseconds. */
  private static final double DEFAULT_HALF_LIFE_MILLIS = 100;

  private static final double MIN_HALF_LIFE_MILLIS = 10;
  private static final double MAX_HALF_LIFE_MILLIS = 2_000;

  /** The weight of the newest duration in the average of an upstream. */
  private static final double DURATION_WEIGHT = 0.2;

  /** The weight of the newest duration in the average of a service. */
  private static final double USUAL_WEIGHT = 0.05;

  /** The multiple of the usual duration from which a single longer one counts no more. */
  private static final double MAX_DURATION_FACTOR = 4;

  /** The assumed duration of a request while no request of the service has ended. */
  private static final double UNKNOWN_DURATION_MILLIS = 20;

  /** The increase of the duration in an upstream whose slots are all used. */
  private static final double FULL_LOAD_SLOWDOWN = 0.2;

  private final Map<String, Figures> figuresById = new HashMap<>();
  private final Map<String, Double> usualMillisByService = new HashMap<>();

  private static final class Figures {
    int inFlight;
    double averageMillis; // Of all durations as measured.
    double ownMillis; // Of the durations divided by the slowness.
    boolean reported;
    long reportedAtMillis;
    double othersReported;
    int waiting;
    int slots;
    double slowness = 1;
  }

  /**
   * The means over the upstreams of a service, aged like the reports from which they are computed.
   *
   * @param othersPerSlot the requests of other nodes, per slot
   * @param slowness the slowness, 1 as usual
   */
  record Means(double othersPerSlot, double slowness) {}

  /** Discards what is known of an upstream. */
  void remove(String id) {
    figuresById.remove(id);
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(String id) {
    figures(id).inFlight++;
  }

  /** Handles the end of a request. */
  void onEnded(String id) {
    Figures figures = figures(id);
    figures.inFlight = Math.max(0, figures.inFlight - 1);
  }

  /** Handles the load in a response of an upstream; the request is still in flight. */
  void onReport(String id, UpstreamLoad load, long nowMillis) {
    Figures figures = figures(id);
    figures.reported = true;
    figures.reportedAtMillis = nowMillis;
    figures.othersReported = Math.max(0, load.running() + load.waiting() - figures.inFlight);
    figures.waiting = load.waiting();
    figures.slots = load.slots();
    figures.slowness = load.slownessPercent().orElse(100) / 100.0;
  }

  /** Handles the duration of an answered request, as measured. */
  void onDuration(String id, long durationMillis) {
    Figures figures = figures(id);
    figures.averageMillis = average(figures.averageMillis, durationMillis, DURATION_WEIGHT);
  }

  /** Handles the duration of an answered request, whose response reported the load before. */
  void onNormalDuration(UpstreamEntry upstream, long durationMillis) {
    Figures figures = figures(upstream.id());
    double normalMillis = normalMillis(upstream, durationMillis);
    figures.ownMillis = average(figures.ownMillis, normalMillis, DURATION_WEIGHT);
    onServiceDuration(upstream.service(), normalMillis);
  }

  /** Handles a duration that counts for the service only, since requests differ in size. */
  void onServiceDuration(String service, double durationMillis) {
    usualMillisByService.merge(
        service,
        Math.max(1, durationMillis),
        (before, added) -> average(before, added, USUAL_WEIGHT));
  }

  /** Returns a duration without the reported slowness, and without the excess of a single one. */
  double normalMillis(UpstreamEntry upstream, long durationMillis) {
    double normalMillis = durationMillis / Math.max(1, figures(upstream.id()).slowness);
    Double usual = usualMillisByService.get(upstream.service());
    return usual == null ? normalMillis : Math.min(normalMillis, MAX_DURATION_FACTOR * usual);
  }

  /** Returns the number of this node's requests in flight. */
  int inFlight(String id) {
    Figures figures = figuresById.get(id);
    return figures == null ? 0 : figures.inFlight;
  }

  /** Returns the moving average of the measured durations, 0 if there is none. */
  double averageMillis(String id) {
    Figures figures = figuresById.get(id);
    return figures == null ? 0 : figures.averageMillis;
  }

  /** Returns the usual duration of a request of a service. */
  double usualMillis(String service) {
    return usualMillisByService.getOrDefault(service, UNKNOWN_DURATION_MILLIS);
  }

  /** Returns the number of slots, as reported or else as registered. */
  int slots(UpstreamEntry upstream) {
    Figures figures = figuresById.get(upstream.id());
    return figures == null || !figures.reported ? upstream.slots() : figures.slots;
  }

  /** Returns the number of waiting requests in the latest report, 0 if there is none. */
  int waiting(String id) {
    Figures figures = figuresById.get(id);
    return figures == null ? 0 : figures.waiting;
  }

  /** Returns whether the upstream reported its load within about the time of a request. */
  boolean isFresh(UpstreamEntry upstream, long nowMillis) {
    return weight(upstream, halfLifeMillis(upstream.service()), nowMillis) >= 0.5;
  }

  /** Returns the means over the given upstreams of one service. */
  Means means(ImmutableList<UpstreamEntry> upstreams, long nowMillis) {
    double totalWeight = 0;
    double maxWeight = 0;
    double others = 0;
    double totalSlownessWeight = 0;
    double maxSlownessWeight = 0;
    double slowness = 0;
    for (UpstreamEntry upstream : upstreams) {
      Figures figures = figuresById.get(upstream.id());
      if (figures != null && figures.reported) {
        double weight = weight(upstream, halfLifeMillis(upstream.service()), nowMillis);
        totalWeight += weight;
        maxWeight = Math.max(maxWeight, weight);
        others += weight * figures.othersReported / figures.slots;
        double slownessWeight = weight(upstream, SLOWNESS_HALF_LIFE_MILLIS, nowMillis);
        totalSlownessWeight += slownessWeight;
        maxSlownessWeight = Math.max(maxSlownessWeight, slownessWeight);
        slowness += slownessWeight * (figures.slowness - 1);
      }
    }
    return new Means(
        totalWeight == 0 ? 0 : others / totalWeight * maxWeight,
        totalSlownessWeight == 0 ? 1 : 1 + slowness / totalSlownessWeight * maxSlownessWeight);
  }

  /** Returns the estimated number of requests of all nodes that run or wait at an upstream. */
  double occupancy(UpstreamEntry upstream, Means means, long nowMillis) {
    double othersByMean = means.othersPerSlot() * slots(upstream);
    Figures figures = figuresById.get(upstream.id());
    if (figures == null) {
      return othersByMean;
    }
    double weight = weight(upstream, halfLifeMillis(upstream.service()), nowMillis);
    return figures.inFlight + weight * figures.othersReported + (1 - weight) * othersByMean;
  }

  /** Returns the estimated slowness of an upstream, 1 as usual. */
  double slowness(UpstreamEntry upstream, Means means, long nowMillis) {
    double weight = weight(upstream, SLOWNESS_HALF_LIFE_MILLIS, nowMillis);
    Figures figures = figuresById.get(upstream.id());
    return weight == 0
        ? means.slowness()
        : weight * figures.slowness + (1 - weight) * means.slowness();
  }

  /** Returns the predicted time until an upstream completes a further request. */
  double completionMillis(UpstreamEntry upstream, Means means, long nowMillis) {
    double usual = usualMillis(upstream.service());
    Figures figures = figuresById.get(upstream.id());
    double durationMillis = usual;
    if (figures != null && figures.ownMillis > 0) {
      double weight = weight(upstream, DURATION_HALF_LIFE_MILLIS, nowMillis);
      durationMillis = weight * figures.ownMillis + (1 - weight) * usual;
    }
    double occupancy = occupancy(upstream, means, nowMillis);
    int slots = slots(upstream);
    double load = FULL_LOAD_SLOWDOWN * Math.min(1, occupancy / slots);
    double queue = Math.max(0, occupancy + 1 - slots) / slots;
    return durationMillis * slowness(upstream, means, nowMillis) * (1 + load + queue);
  }

  private double halfLifeMillis(String service) {
    double usual = usualMillisByService.getOrDefault(service, DEFAULT_HALF_LIFE_MILLIS);
    return Math.min(MAX_HALF_LIFE_MILLIS, Math.max(MIN_HALF_LIFE_MILLIS, usual));
  }

  /** Returns the weight of the latest report, from 0 for none to 1 for one of this moment. */
  private double weight(UpstreamEntry upstream, double halfLifeMillis, long nowMillis) {
    Figures figures = figuresById.get(upstream.id());
    return figures == null || !figures.reported
        ? 0
        : Math.pow(0.5, Math.max(0, nowMillis - figures.reportedAtMillis) / halfLifeMillis);
  }

  private static double average(double before, double added, double weight) {
    return before == 0 ? added : before * (1 - weight) + added * weight;
  }

  private Figures figures(String id) {
    return figuresById.computeIfAbsent(id, unused -> new Figures());
  }
}
