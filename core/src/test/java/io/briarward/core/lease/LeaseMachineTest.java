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
  void deadlineCountsFromBeforeTheRequestWasSent() {
    answer(first, 0, first.poll(0));
    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(100);
    first.onCommit(commit.operation(), 1_100, table.commit(commit.transaction()));

    assertThat(first.guard(1_100).orElseThrow().mayActUntilMillis())
        .isEqualTo(100 + SETTINGS.durationMillis());
  }

  @Test
  void lostAnswerIsResolvedByReadingTheToken() {
    answer(first, 0, first.poll(0));
    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(0);
    table.commit(commit.transaction());
    first.onFailure(commit.operation(), 10, 0);

    answer(first, 500, first.poll(500));

    assertThat(first.guard(500).orElseThrow().mayActUntilMillis())
        .isEqualTo(SETTINGS.durationMillis());
  }

  @Test
  void successorWaitsOutTheLeaseFromWhenItFirstSawTheRow() {
    hold(first, 0);
    answer(second, 5_000, second.poll(5_000));
    long waitMillis = SETTINGS.takeoverWaitMillis(SETTINGS.durationMillis());

    assertThat(second.poll(5_000 + waitMillis - 1)).isInstanceOf(LeaseAction.Read.class);
    second.onFailure(3, 5_000 + waitMillis - 1, 0);
    assertThat(waitMillis).isGreaterThan(SETTINGS.durationMillis() + SETTINGS.inFlightMillis());
  }

  @Test
  void fencingNumberGrowsWithEachAcquisition() {
    hold(first, 0);
    long laterMillis = 2 * SETTINGS.durationMillis();

    answer(first, laterMillis, first.poll(laterMillis));

    assertThat(first.guard(laterMillis).orElseThrow().fencingNumber()).isEqualTo(2);
  }

  @Test
  void releasedLeaseIsTakenAtOnce() {
    hold(first, 0);
    first.release();
    answer(first, 10, first.poll(10));

    hold(second, 20);

    assertThat(second.guard(20).orElseThrow().fencingNumber()).isEqualTo(2);
  }

  @Test
  void guardIsEmptyAfterRelease() {
    hold(first, 0);

    first.release();

    assertThat(first.guard(1)).isEmpty();
  }

  @Test
  void workIsRefusedOnceAnotherProcessHoldsTheLease() {
    hold(first, 0);
    Transaction work = Transaction.builder().put(WORK, IntNode.valueOf(1)).build();
    takeOver(second);

    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(5, Optional.of(work));
    CommitResult result = table.commit(commit.transaction());

    assertThat(first.onCommit(commit.operation(), 6, result)).isEqualTo(WorkOutcome.REFUSED);
    assertThat(table.read(WORK)).isEmpty();
  }

  @Test
  void refusedConditionOfTheWorkKeepsTheLease() {
    hold(first, 0);
    table.commit(Transaction.builder().put(WORK, IntNode.valueOf(1)).build());
    Transaction work =
        Transaction.builder().requireAbsent(WORK).put(WORK, IntNode.valueOf(2)).build();

    LeaseAction.Commit commit = (LeaseAction.Commit) first.poll(5, Optional.of(work));
    CommitResult result = table.commit(commit.transaction());

    assertThat(first.onCommit(commit.operation(), 6, result)).isEqualTo(WorkOutcome.REFUSED);
    assertThat(first.guard(6)).isPresent();
  }

  @Test
  void staleFencingNumberEndsTheTerm() {
    hold(first, 0);

    first.onStaleFencingNumber();

    assertThat(first.guard(1)).isEmpty();
  }

  private void takeOver(LeaseMachine machine) {
    long startMillis = 1_000_000;
    answer(machine, startMillis, machine.poll(startMillis));
    long freeMillis = startMillis + SETTINGS.takeoverWaitMillis(SETTINGS.durationMillis());
    answer(machine, freeMillis, machine.poll(freeMillis));
    assertThat(machine.guard(freeMillis)).isPresent();
  }

  private void hold(LeaseMachine machine, long nowMillis) {
    answer(machine, nowMillis, machine.poll(nowMillis));
    answer(machine, nowMillis, machine.poll(nowMillis));
  }

  private void answer(LeaseMachine machine, long nowMillis, LeaseAction action) {
    if (action instanceof LeaseAction.Read read) {
      machine.onRead(read.operation(), nowMillis, table.read(read.row()));
    } else if (action instanceof LeaseAction.Commit commit) {
      machine.onCommit(commit.operation(), nowMillis, table.commit(commit.transaction()));
    }
  }
}
