package io.briarward.core.lease;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaseMachineTest {
  private static final LeaseSettings SETTINGS = LeaseSettings.defaults();
  private static final RowKey WORK = RowKey.of("work", "1");

  private final TableState table = TableState.create();
  private final LeaseMachine first = LeaseMachine.create(SETTINGS, "orders/nadi", "vm1.a");
  private final LeaseMachine second = LeaseMachine.create(SETTINGS, "orders/nadi", "vm2.a");

  @Test
  void leaseDurationCountsFromBeforeRequestWasSent() {
    execute(first, 0, first.poll(0));
    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(100);
    first.onCommit(commit.operation(), 1_100, table.commit(commit.transaction()));

    assertThat(first.guard(1_100).orElseThrow().mayActUntilMillis())
        .isEqualTo(100 + SETTINGS.durationMillis());
  }

  @Test
  void lostCommitResultIsResolvedByReadingToken() {
    execute(first, 0, first.poll(0));
    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(0);
    table.commit(commit.transaction());
    first.onFailure(commit.operation(), 10, 0);

    execute(first, 500, first.poll(500));

    assertThat(first.guard(500).orElseThrow().mayActUntilMillis())
        .isEqualTo(SETTINGS.durationMillis());
  }

  @Test
  void successorWaitsForLeaseDurationFromWhenItFirstSawRow() {
    acquire(first, 0);
    execute(second, 5_000, second.poll(5_000));
    long waitMillis = SETTINGS.takeoverWaitMillis(SETTINGS.durationMillis());

    assertThat(second.poll(5_000 + waitMillis - 1)).isInstanceOf(LeaseAction.Read.class);
    second.onFailure(3, 5_000 + waitMillis - 1, 0);
    assertThat(waitMillis).isGreaterThan(SETTINGS.durationMillis() + SETTINGS.inFlightMillis());
  }

  @Test
  void fencingNumberIncreasesWithEachAcquisition() {
    acquire(first, 0);
    long laterMillis = 2 * SETTINGS.durationMillis();

    execute(first, laterMillis, first.poll(laterMillis));

    assertThat(first.guard(laterMillis).orElseThrow().fencingNumber()).isEqualTo(2);
  }

  @Test
  void releasedLeaseIsAcquiredWithoutWaiting() {
    acquire(first, 0);
    first.release();
    execute(first, 10, first.poll(10));

    acquire(second, 20);

    assertThat(second.guard(20).orElseThrow().fencingNumber()).isEqualTo(2);
  }

  @Test
  void guardIsEmptyAfterRelease() {
    acquire(first, 0);

    first.release();

    assertThat(first.guard(1)).isEmpty();
  }

  @Test
  void workIsRejectedOnceAnotherProcessHoldsLease() {
    acquire(first, 0);
    Transaction work = Transaction.builder().put(WORK, IntNode.valueOf(1)).build();
    takeOver(second);

    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(5, Optional.of(work));
    CommitResult result = table.commit(commit.transaction());

    assertThat(first.onCommit(commit.operation(), 6, result)).isEqualTo(LeaseWriteOutcome.REFUSED);
    assertThat(table.read(WORK)).isEmpty();
  }

  @Test
  void failedConditionOfWorkKeepsLease() {
    acquire(first, 0);
    table.commit(Transaction.builder().put(WORK, IntNode.valueOf(1)).build());
    Transaction work =
        Transaction.builder().requireAbsent(WORK).put(WORK, IntNode.valueOf(2)).build();

    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(5, Optional.of(work));
    CommitResult result = table.commit(commit.transaction());

    assertThat(first.onCommit(commit.operation(), 6, result)).isEqualTo(LeaseWriteOutcome.REFUSED);
    assertThat(first.guard(6)).isPresent();
  }

  @Test
  void staleFencingNumberEndsLease() {
    acquire(first, 0);

    first.onStaleFencingNumber();

    assertThat(first.guard(1)).isEmpty();
  }

  private void takeOver(LeaseMachine machine) {
    long startMillis = 1_000_000;
    execute(machine, startMillis, machine.poll(startMillis));
    long freeMillis = startMillis + SETTINGS.takeoverWaitMillis(SETTINGS.durationMillis());
    execute(machine, freeMillis, machine.poll(freeMillis));
    assertThat(machine.guard(freeMillis)).isPresent();
  }

  private void acquire(LeaseMachine machine, long nowMillis) {
    execute(machine, nowMillis, machine.poll(nowMillis));
    execute(machine, nowMillis, machine.poll(nowMillis));
  }

  private void execute(LeaseMachine machine, long nowMillis, LeaseAction action) {
    if (action instanceof LeaseAction.Read read) {
      machine.onRead(read.operation(), nowMillis, table.read(read.row()));
    } else if (action instanceof LeaseAction.Commit commit) {
      machine.onCommit(commit.operation(), nowMillis, table.commit(commit.transaction()));
    }
  }
}
