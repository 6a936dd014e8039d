package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

/**
 * Selects the VMs that poll the lease of a duty, by rendezvous hashing.
 *
 * <p>VMs whose views of the membership differ may select different candidates. This affects only
 * the number of reads that the store receives; the lease ensures that at most one VM carries out
 * the duty.
 */
public final class DutyCandidates {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private DutyCandidates() {}

  /**
   * Returns the VMs that poll the lease of {@code duty}, in order of preference.
   *
   * @param vmIds the VMs believed to be alive, in any order
   * @param count the maximum number of VMs returned, > 0
   * @throws IllegalArgumentException if {@code count} is not positive
   */
  public static ImmutableList<String> choose(String duty, Collection<String> vmIds, int count) {
    checkArgument(count > 0, "count is %s, expected > 0", count);
    return vmIds.stream()
        .distinct()
        .sorted(
            Comparator.comparingLong((String vmId) -> score(duty, vmId))
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .collect(toImmutableList());
  }

  /** Returns the hash by which a VM is preferred; the lowest one is first. */
  static long score(String duty, String vmId) {
    return HASH.hashString(duty + '\n' + vmId, StandardCharsets.UTF_8).asLong();
  }
}
