package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Paces the requests to the upstreams that report their load with the slowness, and compares them.
 *
 * <p>An upstream that has not responded yet is paced if another one of its service reports its load
 * so. Not thread-safe.
 */
public final class UpstreamPacing {
  /** The number of upstreams with stale figures that are compared at a time. */
  private static final int COMPARED_STALE = 2;

  /** The factor from which a decrease is one by a rejection or silence, not by late responses. */
  private static final double SHRUNK_FACTOR = 0.8;

  /** The assumed rate while no upstream responds: one request per second. */
  private static final double MIN_DRAIN_PER_MILLI = 0.001;

  private final LoadView view;
  private final RandomGenerator random;
  private final Map<String, Long> rejectionsByService = new HashMap<>();
  private Listener listener = (upstream, full, size) -> {};
  private final Map<String, InFlightWindow> windows = new HashMap<>();
  private final Set<String> reporting = new HashSet<>();
  private final Set<String> notReporting = new HashSet<>();
  private final Set<String> pacedServices = new HashSet<>();

  /** Is told when the window of a paced upstream shrinks, or has its full size. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Handles a change.
     *
     * @param full whether the window permits as many requests as the upstream has slots
     * @param size the size of the window
     */
    void onWindow(UpstreamEntry upstream, boolean full, double size);
  }

  /**
   * Creates the pacing of a node that knows no upstream.
   *
   * @param view the load of the upstreams
   * @param random selects the upstreams that are compared
   */
  UpstreamPacing(LoadView view, RandomGenerator random) {
    this.view = checkNotNull(view, "view");
    this.random = checkNotNull(random, "random");
  }

  /** Discards the history of an upstream. */
  void remove(String id) {
    windows.remove(id);
    reporting.remove(id);
    notReporting.remove(id);
  }

  /** Sets the listener, which replaces the one before. */
  public void setListener(Listener newListener) {
    listener = checkNotNull(newListener, "newListener");
  }

  /** Returns the size of the window of an upstream. */
  public double windowSize(UpstreamEntry upstream) {
    return window(upstream.id()).size();
  }

  /** Returns the number of requests that paced upstreams rejected, by service. */
  public ImmutableMap<String, Long> rejections() {
    return ImmutableMap.copyOf(rejectionsByService);
  }

  /** Changes a window and reports whether it shrank to less than the slots, or reached them. */
  private void change(UpstreamEntry upstream, Consumer<InFlightWindow> change) {
    InFlightWindow window = window(upstream.id());
    int slots = view.slots(upstream);
    boolean wasFull = window.isFull(slots);
    double sizeBefore = window.size();
    change.accept(window);
    boolean full = window.isFull(slots);
    boolean halved = window.size() < sizeBefore * SHRUNK_FACTOR;
    if (inForce(upstream) && (full != wasFull || (halved && !full))) {
      listener.onWindow(upstream, full, window.size());
    }
  }

  /** Handles a response with a valid load. */
  void onReport(UpstreamEntry upstream, UpstreamLoad load, long nowMillis) {
    if (load.slownessPercent().isEmpty()) {
      onNoReport(upstream);
      return;
    }
    pacedServices.add(upstream.service());
    reporting.add(upstream.id());
    notReporting.remove(upstream.id());
    view.onReport(upstream.id(), load, nowMillis);
  }

  /** Handles a response without load. */
  void onNoReport(UpstreamEntry upstream) {
    if (!reporting.contains(upstream.id())) {
      notReporting.add(upstream.id());
    }
  }

  /** Returns whether requests to an upstream are paced. */
  public boolean inForce(UpstreamEntry upstream) {
    return pacedServices.contains(upstream.service()) && !notReporting.contains(upstream.id());
  }

  /**
   * Handles the time of a completed item, by which reported loads are aged.
   *
   * @param service the service that ran it
   */
  public void onItemCompleted(String service, long durationMillis) {
    view.onServiceDuration(service, durationMillis);
  }

  /** Returns whether the window of a paced upstream permits a further request. */
  boolean permits(UpstreamEntry upstream, boolean ignoringProbePause, long nowMillis) {
    return window(upstream.id())
        .permits(view.inFlight(upstream.id()), ignoringProbePause, nowMillis);
  }

  /** Returns the window of an upstream. */
  InFlightWindow window(String id) {
    return windows.computeIfAbsent(id, unused -> new InFlightWindow());
  }

  /** Handles a request that was sent to an upstream. */
  void onSent(String id) {
    window(id).onSent(view.inFlight(id));
  }

  /** Handles a request that an upstream accepted and runs. */
  void onAccepted(UpstreamEntry upstream) {
    String id = upstream.id();
    change(
        upstream,
        window -> window.onAccepted(view.inFlight(id), view.waiting(id), view.slots(upstream)));
  }

  /** Handles the response to a request that is still counted as in flight. */
  void onAnswered(UpstreamEntry upstream, long durationMillis) {
    String id = upstream.id();
    change(
        upstream,
        window ->
            window.onAnswered(
                view.normalMillis(upstream, durationMillis),
                view.usualMillis(upstream.service()),
                view.inFlight(id),
                view.waiting(id),
                view.slots(upstream)));
  }

  /** Handles a response that does not change the window. */
  void onHeard(String id) {
    window(id).onHeard();
  }

  /** Handles the rejection of a request that is still counted as in flight. */
  void onRejected(UpstreamEntry upstream, long nowMillis) {
    String id = upstream.id();
    if (inForce(upstream)) {
      rejectionsByService.merge(upstream.service(), 1L, Long::sum);
    }
    change(
        upstream,
        window ->
            window.onRejected(
                view.inFlight(id),
                view.waiting(id),
                view.usualMillis(upstream.service()),
                view.slots(upstream),
                nowMillis));
  }

  /** Handles a request that ended without response and is still counted as in flight. */
  void onSilent(UpstreamEntry upstream, long nowMillis) {
    change(upstream, window -> window.onSilent(view.inFlight(upstream.id()), nowMillis));
  }

  /** Handles a request that ended for a reason unrelated to the upstream. */
  void onReleased(String id) {
    window(id).onReleased();
  }

  /**
   * Returns the candidates that are compared: those that are not paced or whose figures are recent,
   * and two of the others at random.
   *
   * <p>Nodes that choose at the same moment by figures of the same age would all choose the same
   * upstream otherwise.
   */
  public ImmutableList<UpstreamEntry> compared(
      ImmutableList<UpstreamEntry> candidates, long nowMillis) {
    List<UpstreamEntry> stale = new ArrayList<>();
    for (UpstreamEntry candidate : candidates) {
      if (inForce(candidate) && !view.isFresh(candidate, nowMillis)) {
        stale.add(candidate);
      }
    }
    if (stale.size() <= COMPARED_STALE) {
      return candidates;
    }
    Set<String> left = new HashSet<>();
    for (int i = stale.size(); i > COMPARED_STALE; i--) {
      left.add(stale.remove(random.nextInt(i)).id());
    }
    return candidates.stream()
        .filter(candidate -> !left.contains(candidate.id()))
        .collect(toImmutableList());
  }

  /**
   * Returns how many of this node's requests upstreams are expected to complete per millisecond.
   *
   * @param upstreams all upstreams of one service that are not draining
   */
  double drainPerMilli(ImmutableList<UpstreamEntry> upstreams, long nowMillis) {
    LoadView.Means means = view.means(upstreams, nowMillis);
    double total = 0;
    for (UpstreamEntry upstream : upstreams) {
      InFlightWindow window = window(upstream.id());
      if (!window.isSilent()) {
        double slots = view.slots(upstream);
        double own = Math.min(window.size(), slots);
        double others = view.occupancy(upstream, means, nowMillis) - view.inFlight(upstream.id());
        double share = own / Math.max(slots, others + own);
        double millis =
            view.usualMillis(upstream.service()) * view.slowness(upstream, means, nowMillis);
        total += slots * share / millis;
      }
    }
    return Math.max(MIN_DRAIN_PER_MILLI, total);
  }

  /** Returns the usual duration of a request of a service. */
  double usualMillis(String service) {
    return view.usualMillis(service);
  }

  /**
   * Returns the load of upstreams.
   *
   * @param upstreams all upstreams of one service that are not draining
   */
  public ServiceLoad load(ImmutableList<UpstreamEntry> upstreams, long nowMillis) {
    LoadView.Means means = view.means(upstreams, nowMillis);
    return new ServiceLoad(
        upstream ->
            inForce(upstream)
                ? view.occupancy(upstream, means, nowMillis)
                : view.inFlight(upstream.id()),
        upstream -> inForce(upstream) ? view.slowness(upstream, means, nowMillis) : 1);
  }

  /** Returns the predicted time of a further request, longer while the upstream is silent. */
  double completionMillis(UpstreamEntry upstream, LoadView.Means means, long nowMillis) {
    InFlightWindow window = window(upstream.id());
    int risk = window.isSilent() ? 2 + window.silentProbes() : 1;
    return risk * view.completionMillis(upstream, means, nowMillis);
  }
}
