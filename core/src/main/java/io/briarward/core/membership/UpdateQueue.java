package io.briarward.core.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that a node disseminates, each a limited number of times.
 *
 * <p>Holds at most one update per VM. Not thread-safe.
 */
final class UpdateQueue {
  private record Entry(MemberUpdate update, int remaining) {}

  private final Map<String, Entry> unsent = new LinkedHashMap<>();
  private final Map<String, Entry> sent = new LinkedHashMap<>();

  /** Adds an update to send {@code transmissions} times, in place of any other about its VM. */
  void add(MemberUpdate update, int transmissions) {
    sent.remove(update.vmId());
    unsent.remove(update.vmId());
    unsent.put(update.vmId(), new Entry(update, transmissions));
  }

  /** Returns up to {@code limit} updates: unsent ones first, then the least recently sent ones. */
  ImmutableList<MemberUpdate> take(int limit) {
    List<Entry> taken = new ArrayList<>(limit);
    moveFirst(unsent, limit, taken);
    moveFirst(sent, limit, taken);
    for (Entry entry : taken) {
      if (entry.remaining() > 1) {
        sent.put(entry.update().vmId(), new Entry(entry.update(), entry.remaining() - 1));
      }
    }
    return taken.stream().map(Entry::update).collect(ImmutableList.toImmutableList());
  }

  private static void moveFirst(Map<String, Entry> from, int limit, List<Entry> to) {
    Iterator<Entry> iterator = from.values().iterator();
    while (to.size() < limit && iterator.hasNext()) {
      to.add(iterator.next());
      iterator.remove();
    }
  }
}
