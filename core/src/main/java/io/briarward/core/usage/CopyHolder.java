package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps copies of other incarnations' counters until the table service has them.
 *
 * <p>A copy that its owner has not written to the table within the copy age is written on its
 * behalf. Whether the owner is dead does not matter, since writes are merged. Times are
 * milliseconds of one monotonic clock. Not thread-safe.
 */
public final class CopyHolder {
  private final UsageSettings settings;
  private final Map<String, Owner> owners = new HashMap<>();

  private CopyHolder(UsageSettings settings) {
    this.settings = checkNotNull(settings, "settings");
  }

  private record Slot(long windowStartMillis, UsageKey key) {}

  private record Held(CopyEntry entry, long receivedMillis) {}

  private static final class Owner {
    private final Map<Slot, Held> entries = new HashMap<>();
    private long sequence;
    private long flushedSequence;
  }

  /** Returns a holder without copies. */
  public static CopyHolder create(UsageSettings settings) {
    return new CopyHolder(settings);
  }

  /**
   * Takes a batch.
   *
   * @return the last sequence number up to which this holder or the table service has everything
   */
  public long accept(CopyBatch batch, long nowMillis) {
    Owner owner = owners.computeIfAbsent(batch.incarnation(), unused -> new Owner());
    dropFlushed(owner, batch.flushedSequence(), nowMillis);
    if (batch.afterSequence() > owner.sequence) {
      // Something between was never received here, so the sender has to start from further back.
      return owner.sequence;
    }
    batch.entries().forEach(entry -> keep(owner, entry, nowMillis));
    owner.sequence = Math.max(owner.sequence, batch.sequence());
    return owner.sequence;
  }

  /** Returns the writes that owners have not made themselves in time, oldest window first. */
  public ImmutableList<UsageFlush> due(long nowMillis) {
    ImmutableList.Builder<UsageFlush> flushes = ImmutableList.builder();
    owners.forEach(
        (incarnation, owner) -> {
          boolean overdue =
              owner.entries.values().stream()
                  .anyMatch(held -> nowMillis - held.receivedMillis >= settings.copyAgeMillis());
          if (overdue) {
            flushes.addAll(flushes(incarnation, owner));
          }
        });
    return flushes.build();
  }

  /** Drops the copies that a completed write covered. */
  public void onFlushed(UsageFlush flush) {
    Owner owner = owners.get(flush.incarnation());
    if (owner == null) {
      return;
    }
    Iterator<Map.Entry<Slot, Held>> entries = owner.entries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Slot, Held> entry = entries.next();
      CopyEntry held = entry.getValue().entry;
      boolean sameWindow = held.windowStartMillis() == flush.windowStartMillis();
      if (sameWindow && held.sequence() <= flush.sequence()) {
        entries.remove();
      }
    }
  }

  /** Returns how many counters are kept. */
  public int size() {
    return owners.values().stream().mapToInt(owner -> owner.entries.size()).sum();
  }

  /** Forgets an incarnation of which nothing is kept. */
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
    owner.entries.values().removeIf(held -> held.entry.sequence() <= flushedSequence);
    // What is left was counted after the flush, so its age starts anew.
    owner.entries.replaceAll((slot, held) -> new Held(held.entry, nowMillis));
  }

  private static void keep(Owner owner, CopyEntry entry, long nowMillis) {
    Slot slot = new Slot(entry.windowStartMillis(), entry.key());
    owner.entries.merge(slot, new Held(entry, nowMillis), CopyHolder::newer);
  }

  private static Held newer(Held present, Held received) {
    CopyEntry newer =
        received.entry.sequence() > present.entry.sequence() ? received.entry : present.entry;
    return new Held(newer, present.receivedMillis);
  }

  private static ImmutableList<UsageFlush> flushes(String incarnation, Owner owner) {
    Map<Long, Map<UsageKey, UsageAmounts>> byWindow = new TreeMap<>();
    owner.entries.forEach(
        (slot, held) ->
            byWindow
                .computeIfAbsent(slot.windowStartMillis, unused -> new HashMap<>())
                .put(slot.key, held.entry.amounts()));
    ImmutableList.Builder<UsageFlush> flushes = ImmutableList.builder();
    byWindow.forEach(
        (windowStartMillis, amounts) ->
            flushes.add(
                UsageFlush.onBehalf(
                    incarnation, windowStartMillis, UsageTotals.copyOf(amounts), owner.sequence)));
    return flushes.build();
  }
}
