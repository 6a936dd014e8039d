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
 * Chooses the few VMs that watch the lease of a duty, by rendezvous hashing.
 *
 * <p>VMs with differing views of the membership may choose differently; the lease keeps that safe.
 * It only decides how many reads the store gets.
 */
public final class DutyCandidates {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private DutyCandidates() {}

  /**
   * Returns the VMs that watch {@code duty}, the first choice first.
   *
   * @param vmIds the VMs thought to be alive, in any order
   * @param count the largest number returned, above 0
   * @throws IllegalArgumentException if {@code count} is not above 0
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

  private static long score(String duty, String vmId) {
    return HASH.hashString(duty + '\n' + vmId, StandardCharsets.UTF_8).asLong();
  }
}
