package io.briarward.core.membership;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The statements that a node passes on, each a limited number of times.
 *
 * <p>Holds at most one statement per VM. Not thread-safe.
 */
final class UpdateQueue {
  private record Entry(MemberUpdate update, int remaining) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  void add(MemberUpdate update, int transmissions) {
    entries.remove(update.vmId());
    entries.put(update.vmId(), new Entry(update, transmissions));
  }

  void remove(String vmId) {
    entries.remove(vmId);
  }

  /** Returns up to {@code limit} statements, those first that waited longest. */
  ImmutableList<MemberUpdate> take(int limit) {
    List<Entry> taken = new ArrayList<>(limit);
    Iterator<Entry> iterator = entries.values().iterator();
    while (taken.size() < limit && iterator.hasNext()) {
      taken.add(iterator.next());
      iterator.remove();
    }
    for (Entry entry : taken) {
      if (entry.remaining() > 1) {
        entries.put(entry.update().vmId(), new Entry(entry.update(), entry.remaining() - 1));
      }
    }
    return taken.stream().map(Entry::update).collect(ImmutableList.toImmutableList());
  }
}
