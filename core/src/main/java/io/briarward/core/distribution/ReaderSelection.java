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
 * Chooses the VMs of a data centre that read the store, by rendezvous hashing.
 *
 * <p>Each node decides for itself from the members it sees; when views differ there are some more
 * or fewer readers for a while, which harms nothing.
 */
final class ReaderSelection {
  private ReaderSelection() {}

  /**
   * Returns the readers of a data centre, at most {@code count}.
   *
   * @param vmId the VM that chooses, which always competes
   * @param others the other members, of which those in the data centre that take work compete
   */
  static ImmutableList<String> readers(
      String vmId, String dataCentre, List<Member> others, int count) {
    checkArgument(count > 0, "count is %s, expected > 0", count);
    Stream<String> competing =
        others.stream()
            .filter(member -> member.dataCentre().equals(dataCentre) && member.takesNewWork())
            .map(Member::vmId);
    return Stream.concat(Stream.of(vmId), competing)
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
