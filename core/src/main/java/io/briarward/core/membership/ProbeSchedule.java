package io.briarward.core.membership;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Selects the VMs to probe in round-robin order, which is shuffled again before each round.
 *
 * <p>Every node therefore probes a given VM within two rounds, and some node probes it much
 * earlier. Not thread-safe.
 */
final class ProbeSchedule {
  private final Random random;
  private final List<String> order = new ArrayList<>();
  private int position;

  ProbeSchedule(Random random) {
    this.random = random;
  }

  /** Replaces the VMs to probe without starting a new round. */
  void setVms(ImmutableSet<String> vmIds) {
    Set<String> added = new HashSet<>(vmIds);
    added.removeAll(order);
    for (int i = order.size() - 1; i >= 0; i--) {
      if (!vmIds.contains(order.get(i))) {
        order.remove(i);
        position -= i < position ? 1 : 0;
      }
    }
    added.stream().sorted().forEach(vmId -> order.add(random.nextInt(order.size() + 1), vmId));
  }

  Optional<String> next() {
    if (order.isEmpty()) {
      return Optional.empty();
    }
    if (position >= order.size()) {
      Collections.shuffle(order, random);
      position = 0;
    }
    return Optional.of(order.get(position++));
  }

  /** Returns up to {@code count} distinct VMs other than {@code excluded}, chosen at random. */
  List<String> pick(int count, String excluded) {
    Set<String> picked = new HashSet<>();
    int attempts = Math.min(4 * count, order.size());
    for (int i = 0; i < attempts && picked.size() < count; i++) {
      String vmId = order.get(random.nextInt(order.size()));
      if (!vmId.equals(excluded)) {
        picked.add(vmId);
      }
    }
    return picked.stream().sorted().toList();
  }
}
