package io.briarward.experiments;

import com.google.common.collect.ImmutableSortedMap;
import io.briarward.experiments.control.CapacityPolicies;
import io.briarward.experiments.control.LeaseCost;
import io.briarward.experiments.control.UsageCost;
import io.briarward.experiments.control.UsageLoss;
import io.briarward.experiments.membership.ConfigurationSpread;
import io.briarward.experiments.membership.KeyWithdrawal;
import io.briarward.experiments.membership.MembershipCost;
import io.briarward.experiments.rollout.RolloutCostExperiment;
import io.briarward.experiments.rollout.RolloutStepExperiment;
import io.briarward.experiments.rollout.StalenessExperiment;
import io.briarward.experiments.rollout.WeightsSpreadExperiment;
import io.briarward.experiments.serving.Flood;
import io.briarward.experiments.serving.Overload;
import io.briarward.experiments.serving.PrefixReuse;
import io.briarward.experiments.serving.RoutingCost;
import java.util.Optional;

/** The registry of measurements by name. */
public final class Experiments {
  private static final ImmutableSortedMap<String, Experiment> BY_NAME =
      ImmutableSortedMap.<String, Experiment>naturalOrder()
          .put("capacity", new CapacityPolicies())
          .put("configuration-spread", ConfigurationSpread.create())
          .put("key-withdrawal", KeyWithdrawal.create())
          .put("membership-cost", MembershipCost.create())
          .put("rollout-cost", new RolloutCostExperiment())
          .put("flood", new Flood())
          .put("lease-cost", new LeaseCost())
          .put("overload", new Overload())
          .put("prefix", new PrefixReuse())
          .put("routing-cost", new RoutingCost())
          .put("usage-cost", new UsageCost())
          .put("usage-loss", new UsageLoss())
          .put("rollout-step", new RolloutStepExperiment())
          .put("staleness", new StalenessExperiment())
          .put("weights-spread", new WeightsSpreadExperiment())
          .build();

  private Experiments() {}

  /** Returns the names in alphabetical order. */
  public static Iterable<String> names() {
    return BY_NAME.keySet();
  }

  /** Returns the measurement with the given name. */
  public static Optional<Experiment> byName(String name) {
    return Optional.ofNullable(BY_NAME.get(name));
  }
}
