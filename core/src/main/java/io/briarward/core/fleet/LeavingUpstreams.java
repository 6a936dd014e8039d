package io.briarward.core.fleet;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The upstreams that announced in a response that they leave.
 *
 * <p>An upstream is remembered by its id and start time, not by its address, which another upstream
 * may get. It is remembered even while it is not registered, since a stale registration may still
 * list it as accepting requests. A restart under the same id is another instance, which is not
 * leaving. Not thread-safe.
 */
final class LeavingUpstreams {
  /** More than the upstreams of the largest deployment; the oldest are forgotten first. */
  private static final int MAX_REMEMBERED = 16_384;

  private final Set<Instance> instances = new LinkedHashSet<>();

  private record Instance(String id, long startedAtMillis) {
    static Instance of(UpstreamEntry entry) {
      return new Instance(entry.id(), entry.startedAtMillis());
    }
  }

  /** Remembers an upstream and returns whether it was not remembered before. */
  boolean add(UpstreamEntry entry) {
    boolean added = instances.add(Instance.of(entry));
    if (instances.size() > MAX_REMEMBERED) {
      Iterator<Instance> oldest = instances.iterator();
      oldest.next();
      oldest.remove();
    }
    return added;
  }

  /** Returns the entry, marked as leaving if the upstream announced that it leaves. */
  UpstreamEntry apply(UpstreamEntry entry) {
    return instances.contains(Instance.of(entry)) ? entry.asLeaving() : entry;
  }
}
