package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import io.briarward.core.membership.Member;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Selects the VMs of a data centre that read the store, by rendezvous hashing.
 *
 * <p>Each node computes the selection from its own view of the membership. While views differ, the
 * number of readers may temporarily be higher or lower than intended, which does no harm.
 */
final class ReaderSelection {
  private ReaderSelection() {}

  /**
   * Returns at most {@code count} readers of a data centre.
   *
   * @param vmId the VM that computes the selection, which is always a candidate
   * @param others the other members; those in the data centre that take new work are candidates
   * @throws IllegalArgumentException if {@code count} is not positive
   */
  static ImmutableList<String> select(
      String vmId, String dataCentre, List<Member> others, int count) {
    checkArgument(count > 0, "count is %s, expected > 0", count);
    Stream<String> candidates =
        others.stream()
            .filter(member -> member.dataCentre().equals(dataCentre) && member.takesNewWork())
            .map(Member::vmId);
    return Stream.concat(Stream.of(vmId), candidates)
        .sorted(Comparator.comparingLong((String each) -> rank(dataCentre, each)).reversed())
        .limit(count)
        .collect(ImmutableList.toImmutableList());
  }

  private static long rank(String dataCentre, String vmId) {
    return Hashing.farmHashFingerprint64()
        .hashString(dataCentre + "/" + vmId, StandardCharsets.UTF_8)
        .asLong();
  }
}
