package io.briarward.core.batch;

import static com.google.common.collect.ImmutableListMultimap.toImmutableListMultimap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.FleetService;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Decides in which order the batches of a VM get sampler slots if batches compete for them.
 *
 * <p>Answers the load of several trainers whose batches overlap on one VM: in the order of
 * acceptance, the longest groups of the older batch, which its caller does not need, hold the slots
 * that the needed groups of the newer one wait for.
 */
public final class CompetingBatches {
  /** One trainer sends the batches of each model. */
  private static final int MIN_MODELS = 2;

  private CompetingBatches() {}

  /**
   * The work of one batch.
   *
   * @param dueAtMillis when all results are due, in milliseconds on the store's clock
   * @param unfinishedItems the number of items without a result
   * @param rejectionRank see {@link RejectionBackoff#rank}
   */
  public record Work(String batchId, long dueAtMillis, int unfinishedItems, int rejectionRank) {
    /** Creates the work of a batch that samplers do not reject. */
    public Work(String batchId, long dueAtMillis, int unfinishedItems) {
      this(batchId, dueAtMillis, unfinishedItems, 0);
    }
  }

  /** One batch's turn to start the items of its groups with one standing. */
  public record Turn(String batchId, GroupStanding standing) {}

  /**
   * Returns whether batches of a service compete: it runs models, and the configuration has several
   * models and therefore several trainers.
   */
  public static boolean competeOn(Optional<FleetConfiguration> configuration, String service) {
    return configuration
        .filter(known -> known.services().containsKey(service))
        .filter(known -> !known.services().get(service).models().isEmpty())
        .filter(
            known ->
                known.services().values().stream()
                        .map(FleetService::models)
                        .flatMap(Collection::stream)
                        .distinct()
                        .count()
                    >= MIN_MODELS)
        .isPresent();
  }

  /**
   * Returns the order in which batches start items: those that samplers reject last, then by the
   * standing of the groups, by due time, and those with the least work left first.
   */
  public static ImmutableList<Turn> turns(Collection<Work> batches) {
    ImmutableListMultimap<Integer, Work> byRank =
        batches.stream()
            .sorted(
                Comparator.comparingInt(Work::rejectionRank)
                    .thenComparingLong(Work::dueAtMillis)
                    .thenComparingInt(Work::unfinishedItems)
                    .thenComparing(Work::batchId))
            .collect(toImmutableListMultimap(Work::rejectionRank, work -> work));
    ImmutableList.Builder<Turn> turns = ImmutableList.builder();
    for (Collection<Work> ordered : byRank.asMap().values()) {
      for (GroupStanding standing : GroupStanding.values()) {
        ordered.forEach(work -> turns.add(new Turn(work.batchId(), standing)));
      }
    }
    return turns.build();
  }
}
