package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/** Selects the peers that keep copies of a VM's counters, in other data centres where possible. */
public final class CopyPlacement {
  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private CopyPlacement() {}

  /**
   * A VM that can keep copies.
   *
   * @param id the VM's id
   * @param dataCentre the data centre in which the VM runs
   */
  public record Candidate(String id, String dataCentre) {}

  /**
   * Returns the selected peers: first one in each data centre other than that of {@code self}, then
   * any others, up to {@code count}.
   *
   * @param self the VM whose counters are copied
   * @param others the candidates; {@code self} is ignored
   * @param count the maximum number of peers, above 0
   */
  public static ImmutableSet<String> choose(
      Candidate self, ImmutableList<Candidate> others, int count) {
    checkArgument(count > 0, "count is %s, expected > 0", count);
    ImmutableList<Candidate> ranked =
        others.stream()
            .filter(each -> !each.id.equals(self.id))
            .sorted(Comparator.comparingLong(each -> score(self.id, each.id)))
            .collect(toImmutableList());
    Set<String> usedDataCentres = new HashSet<>();
    usedDataCentres.add(self.dataCentre);
    ImmutableSet.Builder<String> distinctDataCentres = ImmutableSet.builder();
    ImmutableSet.Builder<String> sharedDataCentres = ImmutableSet.builder();
    for (Candidate candidate : ranked) {
      (usedDataCentres.add(candidate.dataCentre) ? distinctDataCentres : sharedDataCentres)
          .add(candidate.id);
    }
    return ImmutableSet.<String>builder()
        .addAll(distinctDataCentres.build())
        .addAll(sharedDataCentres.build())
        .build()
        .stream()
        .limit(count)
        .collect(ImmutableSet.toImmutableSet());
  }

  private static long score(String self, String other) {
    return HASH.hashString(self + '\n' + other, StandardCharsets.UTF_8).asLong();
  }
}
