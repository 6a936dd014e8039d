package io.briarward.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import org.junit.jupiter.api.Test;

class ShardLeaseTest {
  private static final RowKey KEY = new RolloutKey("o", "r").shard(2);

  private final TableState tables = TableState.create();

  private Row taken() {
    tables.commit(Transaction.builder().put(KEY, RolloutCodec.toTree(ShardLease.OPEN)).build());
    tables.commit(ShardLease.take(row(), "a", 0).orElseThrow());
    return row();
  }

  private Row row() {
    return tables.read(KEY).orElseThrow();
  }

  @Test
  void heldShardIsNotTaken() {
    assertThat(ShardLease.take(taken(), "b", ShardLease.DURATION_MILLIS - 1)).isEmpty();
  }

  @Test
  void lapsedShardIsTaken() {
    assertThat(ShardLease.take(taken(), "b", ShardLease.DURATION_MILLIS)).isPresent();
  }

  @Test
  void ownShardIsTakenAgain() {
    assertThat(ShardLease.take(taken(), "a", 1)).isPresent();
  }

  @Test
  void renewalAfterLossConflicts() {
    Row held = taken();
    tables.commit(ShardLease.take(held, "b", ShardLease.DURATION_MILLIS).orElseThrow());

    assertThat(tables.commit(ShardLease.renew(held, "a", 1)).committed()).isFalse();
  }

  @Test
  void rowNamesItsRolloutAndShard() {
    assertThat(RolloutKey.ofShardRow(taken())).isEqualTo(new RolloutKey("o", "r"));
    assertThat(RolloutKey.shardIndex(row())).isEqualTo(2);
  }
}
