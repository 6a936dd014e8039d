package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds copies of other incarnations' counters until they are in the table service.
 *
 * <p>A copy that its owner has not written within {@link UsageSettings#copyAgeMillis} is written on
 * its behalf. The owner may still be running, since writes are merged. Times are in milliseconds of
 * one monotonic clock. Not thread-safe.
 */
public final class CopyHolder {
  private final UsageSettings settings;
  private final Map<String, Owner> owners = new HashMap<>();

  private CopyHolder(UsageSettings settings) {
    this.settings = checkNotNull(settings, "settings");
  }

  private record CounterId(long windowStartMillis, UsageKey key) {}

  private record Copy(CopyEntry entry, long receivedMillis) {}

  private static final class Owner {
    private final Map<CounterId, Copy> entries = new HashMap<>();
    private long sequence;
    private long flushedSequence;
  }

  /** Returns an empty holder. */
  public static CopyHolder create(UsageSettings settings) {
    return new CopyHolder(settings);
  }

  /**
   * Stores the copies in a batch.
   *
   * @return the sequence number up to which this holder or the table service has all records
   */
  public long accept(CopyBatch batch, long nowMillis) {
    Owner owner = owners.computeIfAbsent(batch.incarnation(), unused -> new Owner());
    dropFlushed(owner, batch.flushedSequence(), nowMillis);
    if (batch.afterSequence() > owner.sequence) {
      // Records before this batch are missing, so the sender must resend from an earlier one.
      return owner.sequence;
    }
    batch.entries().forEach(entry -> store(owner, entry, nowMillis));
    owner.sequence = Math.max(owner.sequence, batch.sequence());
    return owner.sequence;
  }

  /**
   * Returns the writes of all copies of each owner that has an overdue copy, oldest window first.
   */
  public ImmutableList<UsageFlush> due(long nowMillis) {
    ImmutableList.Builder<UsageFlush> flushes = ImmutableList.builder();
    owners.forEach(
        (incarnation, owner) -> {
          boolean overdue =
              owner.entries.values().stream()
                  .anyMatch(copy -> nowMillis - copy.receivedMillis >= settings.copyAgeMillis());
          if (overdue) {
            flushes.addAll(flushes(incarnation, owner));
          }
        });
    return flushes.build();
  }

  /** Removes the copies covered by a completed write. */
  public void onFlushed(UsageFlush flush) {
    Owner owner = owners.get(flush.incarnation());
    if (owner == null) {
      return;
    }
    Iterator<Map.Entry<CounterId, Copy>> entries = owner.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<CounterId, Copy> entry = entries.next();
      CopyEntry copy = entry.getValue().entry;
      boolean sameWindow = copy.windowStartMillis() == flush.windowStartMillis();
      if (sameWindow && copy.sequence() <= flush.sequence()) {
        entries.remove();
      }
    }
  }

  /** Returns the number of counters held. */
  public int size() {
    return owners.values().stream().mapToInt(owner -> owner.entries.size()).sum();
  }

  /** Removes an incarnation if no copies of it are held. */
  public void forgetEmpty(String incarnation) {
    Owner owner = owners.get(incarnation);
    if (owner != null && owner.entries.isEmpty()) {
      owners.remove(incarnation);
    }
  }

  private static void dropFlushed(Owner owner, long flushedSequence, long nowMillis) {
    if (flushedSequence <= owner.flushedSequence) {
      return;
    }
    owner.flushedSequence = flushedSequence;
    owner.sequence = Math.max(owner.sequence, flushedSequence);
    owner.entries.values().removeIf(copy -> copy.entry.sequence() <= flushedSequence);
    // The remaining entries changed after the flush, so their age restarts.
    owner.entries.replaceAll((id, copy) -> new Copy(copy.entry, nowMillis));
  }

  private static void store(Owner owner, CopyEntry entry, long nowMillis) {
    CounterId id = new CounterId(entry.windowStartMillis(), entry.key());
    owner.entries.merge(id, new Copy(entry, nowMillis), CopyHolder::merge);
  }

  private static Copy merge(Copy present, Copy received) {
    CopyEntry newer =
        received.entry.sequence() > present.entry.sequence() ? received.entry : present.entry;
    return new Copy(newer, present.receivedMillis);
  }

  private static ImmutableList<UsageFlush> flushes(String incarnation, Owner owner) {
    Map<Long, Map<UsageKey, UsageAmounts>> byWindow = new TreeMap<>();
    owner.entries.forEach(
        (id, copy) ->
            byWindow
                .computeIfAbsent(id.windowStartMillis, unused -> new HashMap<>())
                .put(id.key, copy.entry.amounts()));
    ImmutableList.Builder<UsageFlush> flushes = ImmutableList.builder();
    byWindow.forEach(
        (windowStartMillis, amounts) ->
            flushes.add(
                UsageFlush.onBehalf(
                    incarnation, windowStartMillis, UsageTotals.copyOf(amounts), owner.sequence)));
    return flushes.build();
  }
}
