package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.platform.Row;
import io.briarward.core.rollout.Delivery;
import io.briarward.core.rollout.DeliveryStep;
import io.briarward.core.rollout.GroupResult;
import io.briarward.core.rollout.GroupSpec;
import io.briarward.core.rollout.Outcome;
import io.briarward.core.rollout.RolloutAction;
import io.briarward.core.rollout.RolloutCodec;
import io.briarward.core.rollout.RolloutHeader;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutPlanner;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.RolloutView;
import io.briarward.core.rollout.SamplingParameters;
import io.briarward.core.rollout.ShardLease;
import io.briarward.core.rollout.StragglerPolicy;
import io.briarward.core.weights.AnnouncedVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Simulates the store operations of one rollout whose samples finish throughout a step. */
final class CostSimulation {
  static final long TICK_MILLIS = 250;

  private static final int SAMPLES_PER_GROUP = 8;
  private static final int CHUNKS = 16;
  private static final String CHUNK = "0123456789abcdef".repeat(8);
  private static final int CHUNK_TOKENS = 32;
  private static final long POLL_MILLIS = 500;
  private static final long REFRESH_MILLIS = 2_000;
  private static final double FIRST_FINISH_SHARE = 0.2;
  private static final String NODE = "node";

  private final CountingTable table;
  private final RolloutKey key;
  private final RolloutSpec spec;
  private final Random random;
  private final long stepMillis;
  private final RolloutView trainerView;
  private final List<Shard> shards = new ArrayList<>();
  private long cursor;
  private long objectBytes;
  private int objects;
  private int delivered;

  CostSimulation(CountingTable table, String id, int samples, long stepMillis, long seed) {
    this.table = table;
    this.key = new RolloutKey("org", id);
    this.random = new Random(seed);
    this.stepMillis = stepMillis;
    this.spec = newSpec(id, samples / SAMPLES_PER_GROUP);
    RolloutPolicy policy = new RolloutPolicy("p", "llm", 1, 2 * stepMillis, 0);
    RolloutHeader header = RolloutHeader.submit(spec, policy, 0);
    table.commit(header.insert(key));
    this.trainerView = newView();
    for (int shard = 0; shard < header.shards(); shard++) {
      shards.add(new Shard(header, shard));
    }
  }

  private static RolloutSpec newSpec(String id, int groups) {
    SamplingParameters sampling = new SamplingParameters(CHUNKS * CHUNK_TOKENS, 1, 1);
    ImmutableList.Builder<GroupSpec> list = ImmutableList.builder();
    for (int i = 0; i < groups; i++) {
      list.add(new GroupSpec("g" + i, "prompt " + i, SAMPLES_PER_GROUP, sampling));
    }
    return new RolloutSpec(id, "llm", "p", 1, list.build(), Optional.empty(), Optional.empty());
  }

  private RolloutView newView() {
    return RolloutView.create(key, table.read(key.header()).orElseThrow());
  }

  void tick(long nowMillis) {
    shards.forEach(shard -> shard.tick(nowMillis));
    if (nowMillis % POLL_MILLIS == 0) {
      fetchGroups(nowMillis);
    }
  }

  int delivered() {
    return delivered;
  }

  int objects() {
    return objects;
  }

  long objectBytes() {
    return objectBytes;
  }

  private void refresh(RolloutView view) {
    view.updateHeader(table.read(key.header()).orElseThrow());
    refreshOutcomes(view);
    refreshProgress(view);
  }

  private void refreshOutcomes(RolloutView view) {
    view.addOutcomes(table.scan(RolloutKey.OUTCOMES, key.prefix(), view.lastOutcomeKey()));
  }

  private void refreshProgress(RolloutView view) {
    view.addDeliveries(table.scan(RolloutKey.DELIVERIES, key.prefix(), view.lastDeliveryKey()));
    view.updateAnnounced(table.read(AnnouncedVersion.key("llm")));
  }

  private void fetchGroups(long nowMillis) {
    refresh(trainerView);
    DeliveryStep step = trainerView.nextStep(cursor, NODE, nowMillis);
    if (step instanceof DeliveryStep.Commit commit && table.commit(commit.transaction())) {
      cursor = commit.serve().cursor();
      delivered += commit.delivery().groups().stream().mapToInt(CostSimulation::samples).sum();
    }
  }

  private static int samples(Delivery.Place place) {
    return place.tokens() > 0 ? SAMPLES_PER_GROUP : 0;
  }

  /** A shard and the node that owns it. */
  private final class Shard {
    private final RolloutView view = newView();
    private final RolloutPlanner planner;
    private final List<List<String>> chunksAt = new ArrayList<>();
    private final List<List<String>> finishingAt = new ArrayList<>();
    private final int index;
    private Row lease;

    Shard(RolloutHeader header, int index) {
      this.index = index;
      this.planner =
          RolloutPlanner.create(
              key.rollout() + "-" + index,
              header.groupsOf(spec, index),
              header.bound(),
              StragglerPolicy.of(header.extraAttemptShare()));
      this.lease = table.read(key.shard(index)).orElseThrow();
      table.commit(ShardLease.take(lease, NODE, 0).orElseThrow());
      this.lease = table.read(key.shard(index)).orElseThrow();
      for (long tick = 0; tick <= stepMillis / TICK_MILLIS; tick++) {
        chunksAt.add(new ArrayList<>());
        finishingAt.add(new ArrayList<>());
      }
    }

    void tick(long nowMillis) {
      planner.poll(nowMillis, SAMPLES_PER_GROUP * spec.groups().size()).forEach(this::schedule);
      int tick = (int) (nowMillis / TICK_MILLIS);
      if (tick < finishingAt.size()) {
        chunksAt.get(tick).forEach(attempt -> produce(attempt, nowMillis));
        finishingAt.get(tick).forEach(attempt -> planner.onFinished(attempt, "length", nowMillis));
      }
      record(planner.takeCompleted());
      if (!planner.isDelivered() && nowMillis % REFRESH_MILLIS == 0) {
        refreshProgress(view);
        view.updatePlanner(planner);
      }
      if (!planner.isDelivered() && nowMillis % ShardLease.RENEWAL_MILLIS == 0) {
        table.commit(ShardLease.renew(lease, NODE, nowMillis));
        lease = table.read(key.shard(index)).orElseThrow();
      }
    }

    private void schedule(RolloutAction action) {
      double share = FIRST_FINISH_SHARE + (1 - FIRST_FINISH_SHARE) * random.nextDouble();
      int tick = (int) (share * (finishingAt.size() - 1));
      if (action instanceof RolloutAction.Dispatch) {
        for (int chunk = 1; chunk <= CHUNKS; chunk++) {
          chunksAt.get(tick * chunk / CHUNKS).add(action.attemptId());
        }
        finishingAt.get(tick).add(action.attemptId());
      }
    }

    private void produce(String attempt, long nowMillis) {
      planner.onChunk(attempt, CHUNK, CHUNK_TOKENS, 1, nowMillis);
    }

    private void record(ImmutableList<RolloutPlanner.CompletedGroup> completed) {
      if (completed.isEmpty()) {
        return;
      }
      ImmutableList<GroupResult> results =
          completed.stream()
              .map(RolloutPlanner.CompletedGroup::result)
              .collect(ImmutableList.toImmutableList());
      objects++;
      objectBytes += RolloutCodec.printGroups(results).length;
      Outcome outcome = Outcome.of(key.groupsObject(index + "-" + objects), completed);
      refreshOutcomes(view);
      while (!table.commit(view.record(outcome))) {
        refresh(view);
      }
    }
  }
}
