package io.briarward.core.batch;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** Knows which groups of a batch are complete, unfinished or lost. Not thread-safe. */
final class BatchGroups {
  private final int targetGroups;
  private final int totalGroups;
  private final Multiset<String> unfinishedItems = HashMultiset.create();
  private final Set<String> groupsWithLoss = new HashSet<>();

  /**
   * Creates the groups of a batch.
   *
   * @param unfinished the items that have no result yet
   */
  BatchGroups(BatchSpec spec, Collection<BatchItem> unfinished) {
    this.totalGroups =
        spec.items().stream().map(BatchItem::group).collect(ImmutableSet.toImmutableSet()).size();
    this.targetGroups = spec.targetGroups() == 0 ? totalGroups : spec.targetGroups();
    unfinished.forEach(item -> unfinishedItems.add(item.group()));
  }

  /** Handles the result of an item. */
  void onResult(BatchItem item) {
    unfinishedItems.remove(item.group());
  }

  /** Handles an item that failed, so that its group can never be complete. */
  void onLoss(BatchItem item) {
    groupsWithLoss.add(item.group());
  }

  /** Returns whether an item of a group failed. */
  boolean hasLoss(String group) {
    return groupsWithLoss.contains(group);
  }

  /** Returns the number of items of a group without a result. */
  int unfinished(String group) {
    return unfinishedItems.count(group);
  }

  /** Returns the number of groups that the caller still waits for. */
  int needed() {
    int completeGroups =
        totalGroups - Sets.union(unfinishedItems.elementSet(), groupsWithLoss).size();
    return Math.max(0, targetGroups - completeGroups);
  }
}
