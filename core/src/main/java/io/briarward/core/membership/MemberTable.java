package io.briarward.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The other VMs and the latest update about each. Not thread-safe. */
final class MemberTable {
  private static final long FIRST_INCARNATION = 0;

  private static final class Entry {
    ListedVm vm;
    MemberUpdate update;

    Entry(ListedVm vm) {
      this.vm = vm;
      this.update = new MemberUpdate(vm.vmId(), MemberState.ALIVE, FIRST_INCARNATION);
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Long> suspectSinceMillis = new LinkedHashMap<>();

  /**
   * Replaces the list of VMs with the platform's list, which may be out of date.
   *
   * <p>A VM that is no longer listed is retained while its latest update states that it is alive.
   */
  void setListed(List<ListedVm> vms) {
    Set<String> listed = new HashSet<>();
    for (ListedVm vm : vms) {
      listed.add(vm.vmId());
      entries.computeIfAbsent(vm.vmId(), id -> new Entry(vm)).vm = vm;
    }
    entries
        .entrySet()
        .removeIf(
            each ->
                !listed.contains(each.getKey())
                    && each.getValue().update.state() != MemberState.ALIVE);
    suspectSinceMillis.keySet().retainAll(entries.keySet());
  }

  /** Applies an update if it supersedes the known one, and returns whether it did. */
  boolean apply(MemberUpdate update, long nowMillis) {
    Entry entry = entries.get(update.vmId());
    if (entry == null || !update.supersedes(entry.update)) {
      return false;
    }
    entry.update = update;
    if (update.state() == MemberState.SUSPECT) {
      suspectSinceMillis.putIfAbsent(update.vmId(), nowMillis);
    } else {
      suspectSinceMillis.remove(update.vmId());
    }
    return true;
  }

  Optional<MemberUpdate> update(String vmId) {
    return Optional.ofNullable(entries.get(vmId)).map(entry -> entry.update);
  }

  int size() {
    return entries.size();
  }

  int suspectCount() {
    return suspectSinceMillis.size();
  }

  /** Returns the VMs that have been suspected for at least {@code timeoutMillis}. */
  ImmutableList<String> overdueSuspects(long nowMillis, long timeoutMillis) {
    return suspectSinceMillis.entrySet().stream()
        .filter(each -> nowMillis - each.getValue() >= timeoutMillis)
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  /** Restarts the suspicion time-out of every suspect. */
  void restartSuspicions(long nowMillis) {
    suspectSinceMillis.replaceAll((vmId, since) -> nowMillis);
  }

  ImmutableSet<String> vmIds() {
    return ImmutableSet.copyOf(entries.keySet());
  }

  ImmutableList<Member> members() {
    return entries.values().stream()
        .map(entry -> new Member(entry.vm.vmId(), entry.vm.dataCentre(), stateOf(entry)))
        .collect(ImmutableList.toImmutableList());
  }

  private static MemberState stateOf(Entry entry) {
    MemberState state = entry.update.state();
    return entry.vm.leaving() && state == MemberState.ALIVE ? MemberState.LEAVING : state;
  }
}
