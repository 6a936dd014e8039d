package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A trainer's request for groups of samples from one service in one training step.
 *
 * <p>Immutable and thread-safe. Parsed and printed by {@link RolloutCodec}.
 *
 * @param id the id chosen by the trainer, unique within its organisation
 * @param service the id of the model service
 * @param policy the id of the rollout policy
 * @param step the number of the training step, used only by the trainer
 * @param groups the groups, at least one
 * @param maxStalenessVersions the staleness bound in versions; the smaller of this and the policy's
 *     bound applies
 * @param timeoutMillis the time from submission to deadline, in milliseconds; the smaller of this
 *     and the policy's timeout applies
 */
public record RolloutSpec(
    String id,
    String service,
    String policy,
    long step,
    ImmutableList<GroupSpec> groups,
    Optional<Integer> maxStalenessVersions,
    Optional<Long> timeoutMillis) {
  /** The largest number of samples in a rollout. */
  public static final int MAX_SAMPLES = 65_536;

  private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  /** Validates the components. */
  public RolloutSpec {
    checkId(id, "id");
    checkId(service, "service");
    checkId(policy, "policy");
    checkArgument(step >= 0, "step is %s, expected >= 0", step);
    checkNotNull(groups, "groups is missing");
    checkArgument(!groups.isEmpty(), "groups is empty");
    checkGroups(groups);
    checkNotNull(maxStalenessVersions, "maxStalenessVersions");
    checkArgument(
        maxStalenessVersions.orElse(0) >= 0,
        "maxStalenessVersions is %s, expected >= 0",
        maxStalenessVersions);
    checkNotNull(timeoutMillis, "timeoutMillis");
    checkArgument(
        timeoutMillis.orElse(1L) >= 1, "timeoutMillis is %s, expected >= 1", timeoutMillis);
  }

  /** Returns the total number of samples in all groups. */
  public int sampleCount() {
    return groups.stream().mapToInt(GroupSpec::samples).sum();
  }

  static void checkId(String id, String field) {
    checkNotNull(id, "%s is missing", field);
    checkArgument(
        ID.matcher(id).matches(), "%s is '%s', expected an id like [A-Za-z0-9._-]", field, id);
  }

  private static void checkGroups(ImmutableList<GroupSpec> groups) {
    Set<String> ids = new HashSet<>();
    long samples = 0;
    for (GroupSpec group : groups) {
      checkArgument(ids.add(group.id()), "groups.id '%s' is used twice", group.id());
      samples += group.samples();
    }
    checkArgument(
        samples <= MAX_SAMPLES, "groups hold %s samples, expected <= %s", samples, MAX_SAMPLES);
  }
}
