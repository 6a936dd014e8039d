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

  private Row acquiredByA() {
    tables.commit(Transaction.builder().put(KEY, RolloutCodec.toTree(ShardLease.UNLEASED)).build());
    tables.commit(ShardLease.take(readRow(), "a", 0).orElseThrow());
    return readRow();
  }

  private Row readRow() {
    return tables.read(KEY).orElseThrow();
  }

  @Test
  void heldLeaseIsNotAcquiredByOtherNode() {
    assertThat(ShardLease.take(acquiredByA(), "b", ShardLease.DURATION_MILLIS - 1)).isEmpty();
  }

  @Test
  void expiredLeaseIsAcquired() {
    assertThat(ShardLease.take(acquiredByA(), "b", ShardLease.DURATION_MILLIS)).isPresent();
  }

  @Test
  void holderAcquiresItsLeaseAgain() {
    assertThat(ShardLease.take(acquiredByA(), "a", 1)).isPresent();
  }

  @Test
  void renewalAfterTakeoverConflicts() {
    Row held = acquiredByA();
    tables.commit(ShardLease.take(held, "b", ShardLease.DURATION_MILLIS).orElseThrow());

    assertThat(tables.commit(ShardLease.renew(held, "a", 1)).committed()).isFalse();
  }

  @Test
  void rowKeyContainsRolloutAndShard() {
    assertThat(RolloutKey.ofShardRow(acquiredByA())).isEqualTo(new RolloutKey("o", "r"));
    assertThat(RolloutKey.shardIndex(readRow())).isEqualTo(2);
  }
}
