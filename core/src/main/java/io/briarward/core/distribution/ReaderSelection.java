package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import io.briarward.core.membership.Member;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Chooses the VMs of a data centre that read the store, by rendezvous hashing.
 *
 * <p>Each node decides for itself from the members it sees; when views differ there are some more
 * or fewer readers for a while, which harms nothing.
 */
final class ReaderSelection {
  private ReaderSelection() {}

  /**
   * Returns whether a VM is among the first {@code readers} of its data centre.
   *
   * @param others the other members, of which those in the data centre that take work compete
   */
  static boolean isReader(String vmId, String dataCentre, List<Member> others, int readers) {
    checkArgument(readers > 0, "readers is %s, expected > 0", readers);
    long rank = rank(dataCentre, vmId);
    long ahead =
        others.stream()
            .filter(member -> member.dataCentre().equals(dataCentre) && member.takesNewWork())
            .filter(member -> rank(dataCentre, member.vmId()) > rank)
            .count();
    return ahead < readers;
  }

  private static long rank(String dataCentre, String vmId) {
    return Hashing.farmHashFingerprint64()
        .hashString(dataCentre + "/" + vmId, StandardCharsets.UTF_8)
        .asLong();
  }
}
