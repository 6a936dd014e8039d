package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides what becomes of a request that no paced upstream of its service admits now.
 *
 * <p>It waits if the upstreams are expected to complete it in time. Otherwise it is rejected at
 * once rather than late, and its caller is told to return when the requests before it are expected
 * to have ended. Callers that are rejected together are told times that are spread over the time in
 * which the upstreams can serve them. Not thread-safe.
 */
public final class PacedBacklog {
  /** The maximum number of waiting requests of a service; their bodies are held in memory. */
  private static final int MAX_WAITING = 128;

  /**
   * The time that is left for the request itself, relative to its usual duration. An upstream whose
   * queue is as long as its slots takes twice the duration.
   */
  private static final double COMPLETION_FACTOR = 3;

  /** The time after which a waiting request is tried again, in milliseconds. */
  private static final long MIN_WAIT_MILLIS = 2;

  private static final long MAX_WAIT_MILLIS = 10;

  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

  /** How long a rejected request counts as one that returns, in seconds. */
  private static final double RETURNING_SECONDS = 2;

  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private final UpstreamPacing pacing;
  private final Function<String, ImmutableList<UpstreamEntry>> upstreams;
  private final Map<String, Integer> waiting = new HashMap<>();
  private final RequestMeter rejected = new RequestMeter();

  /**
   * Creates an empty backlog.
   *
   * @param upstreams returns the upstreams of a service that are not draining
   */
  PacedBacklog(UpstreamPacing pacing, Function<String, ImmutableList<UpstreamEntry>> upstreams) {
    this.pacing = checkNotNull(pacing, "pacing");
    this.upstreams = checkNotNull(upstreams, "upstreams");
  }

  /**
   * A decision about a request.
   *
   * @param waits whether the request is to be tried again on this node; otherwise it is rejected
   * @param afterMillis the time until the next trial, or the time after which the caller may return
   */
  public record Decision(boolean waits, long afterMillis) {}

  /**
   * Returns what becomes of a request, empty if its service is not paced.
   *
   * @param requestId determines the position of the caller among those that are rejected together
   * @param deadlineMillis the time at which the response is due
   */
  public Optional<Decision> decide(
      String service, String requestId, long deadlineMillis, long nowMillis) {
    ImmutableList<UpstreamEntry> registered = upstreams.apply(service);
    if (registered.stream().noneMatch(pacing::inForce)) {
      return Optional.empty();
    }
    double drainPerMilli = pacing.drainPerMilli(registered, nowMillis);
    int before = waiting.getOrDefault(service, 0);
    double ownMillis = (before + 1) / drainPerMilli;
    double completedMillis = ownMillis + COMPLETION_FACTOR * pacing.usualMillis(service);
    if (before < MAX_WAITING && nowMillis + completedMillis <= deadlineMillis) {
      long retryMillis = Math.round(ownMillis / 2);
      return Optional.of(
          new Decision(true, Math.min(MAX_WAIT_MILLIS, Math.max(MIN_WAIT_MILLIS, retryMillis))));
    }
    double returning = rejected.perSecond(service, nowMillis) * RETURNING_SECONDS;
    rejected.onRequest(service, nowMillis);
    double afterMillis = ownMillis + position(requestId) * (returning + 1) / drainPerMilli;
    return Optional.of(
        new Decision(
            false,
            Math.round(
                Math.min(
                    MAX_RETRY_AFTER_MILLIS * (0.5 + position(requestId) / 2),
                    Math.max(MIN_RETRY_AFTER_MILLIS, afterMillis)))));
  }

  /** Handles a request that begins to wait. */
  public void onWaiting(String service) {
    waiting.merge(service, 1, Integer::sum);
  }

  /** Handles a request that ceases to wait. */
  public void onWaitEnded(String service) {
    waiting.computeIfPresent(service, (key, count) -> count > 1 ? count - 1 : null);
  }

  /** Returns the number of this node's waiting requests. */
  public int waiting() {
    return waiting.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns a number from 0 to 1 that is uniformly distributed over the request ids. */
  private static double position(String requestId) {
    long hash = HASH.hashString(requestId, StandardCharsets.UTF_8).asLong();
    return (hash >>> 11) * 0x1.0p-53;
  }
}
