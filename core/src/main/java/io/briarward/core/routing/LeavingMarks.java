package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides which upstreams leave, from what they say in their responses.
 *
 * <p>An upstream that leaves says so in every response. A response without the mark, to a request
 * that was sent after the mark was seen, comes from a process that replaced it under the same id.
 * One to an earlier request may have been sent before the upstream decided to leave. Not
 * thread-safe.
 */
public final class LeavingMarks {
  private final Map<String, Long> markedAtMillis = new HashMap<>();

  private LeavingMarks() {}

  /** Creates marks of no upstream. */
  public static LeavingMarks create() {
    return new LeavingMarks();
  }

  /**
   * Handles a response.
   *
   * @param leaving whether the response says that the upstream leaves
   * @param sentAtMillis a time before the request was sent
   * @return whether the response changed whether the upstream leaves
   */
  public boolean onResponse(String upstreamId, boolean leaving, long sentAtMillis, long nowMillis) {
    checkNotNull(upstreamId, "upstreamId");
    if (leaving) {
      return markedAtMillis.put(upstreamId, nowMillis) == null;
    }
    boolean replaced = sentAtMillis > markedAtMillis.getOrDefault(upstreamId, Long.MAX_VALUE);
    if (replaced) {
      markedAtMillis.remove(upstreamId);
    }
    return replaced;
  }

  /** Returns the upstreams that leave. */
  public ImmutableSet<String> ids() {
    return ImmutableSet.copyOf(markedAtMillis.keySet());
  }

  /** Forgets all upstreams except the given ones. */
  public void retain(Set<String> upstreamIds) {
    markedAtMillis.keySet().retainAll(upstreamIds);
  }
}
