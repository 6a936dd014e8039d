package io.briarward.core.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The upstreams of a data centre that accept new work and have the same market and weight version.
 *
 * <p>Adding, removing and access by index take constant time. Not thread-safe.
 */
final class Partition {
  private final boolean reclaimable;
  private final long weightVersion;
  private final List<UpstreamState> members = new ArrayList<>();
  private double outstanding;
  private double othersOutstanding;
  private double slots;

  Partition(boolean reclaimable, long weightVersion) {
    this.reclaimable = reclaimable;
    this.weightVersion = weightVersion;
  }

  boolean canServe(long minWeightVersion, boolean reclaimableAllowed) {
    return weightVersion >= minWeightVersion && (reclaimableAllowed || !reclaimable);
  }

  boolean matches(UpstreamState state) {
    return reclaimable == state.upstream().reclaimable() && weightVersion == state.weightVersion();
  }

  long weightVersion() {
    return weightVersion;
  }

  void add(UpstreamState state) {
    state.setPartition(this, members.size());
    members.add(state);
    outstanding += state.outstanding();
    othersOutstanding += state.othersOutstanding();
    slots += state.slots();
  }

  /** Removes a member, whose load must not have changed since it was added. */
  void remove(UpstreamState state) {
    int index = state.partitionIndex();
    UpstreamState last = members.remove(members.size() - 1);
    if (last != state) {
      members.set(index, last);
      last.setPartition(this, index);
    }
    state.setPartition(null, 0);
    outstanding -= state.outstanding();
    othersOutstanding -= state.othersOutstanding();
    slots -= state.slots();
    if (members.isEmpty()) {
      resetSums();
    }
  }

  /** Resets the sums, as rounding errors would otherwise accumulate. */
  private void resetSums() {
    outstanding = 0;
    othersOutstanding = 0;
    slots = 0;
  }

  int size() {
    return members.size();
  }

  UpstreamState get(int index) {
    return members.get(index);
  }

  double outstanding() {
    return outstanding;
  }

  double othersOutstanding() {
    return othersOutstanding;
  }

  double slots() {
    return slots;
  }
}
