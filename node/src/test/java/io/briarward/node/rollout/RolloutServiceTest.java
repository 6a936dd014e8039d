package io.briarward.node.rollout;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.briarward.core.rollout.GroupsAnswer;
import io.briarward.core.weights.WeightAnnouncement;
import io.briarward.node.rollout.RolloutFixture.TestNode;
import io.reactivex.rxjava3.observers.TestObserver;
import java.util.List;
import org.junit.jupiter.api.Test;

class RolloutServiceTest {
  private static final int GROUPS = 16;
  private static final int SAMPLES = 8;
  private static final int TOKENS = 10;
  private static final long MAX_RECOVERY_MILLIS = 5_000;

  private final RolloutFixture fixture = new RolloutFixture();
  private final TestNode first = fixture.startNode("n1");
  private final TestNode second = fixture.startNode("n2");

  private void submit() {
    fixture.submit(first, RolloutFixture.spec(GROUPS, SAMPLES)).assertComplete();
  }

  private void assertEachGroupOnce(List<GroupsAnswer> answers) {
    assertThat(RolloutFixture.groupIds(answers)).hasSize(GROUPS);
    assertThat(RolloutFixture.groupIds(answers)).containsNoDuplicates();
    assertThat(
            answers.stream()
                .flatMap(answer -> answer.groups().stream())
                .allMatch(group -> group.samples().orElseThrow().size() == SAMPLES))
        .isTrue();
  }

  @Test
  void allGroupsAreDeliveredOnce() {
    submit();

    assertEachGroupOnce(fixture.collect(first));
  }

  @Test
  void repeatedCursorReturnsSameGroupsFromAnotherNode() {
    submit();
    GroupsAnswer answer =
        fixture.collect(first).stream()
            .filter(each -> !each.groups().isEmpty())
            .findFirst()
            .orElseThrow();

    second
        .service()
        .groups(RolloutFixture.KEY, answer.cursor() - 1, 0)
        .test()
        .assertValue(again -> again.groups().equals(answer.groups()));
  }

  @Test
  void shardsOfStoppedNodeAreTakenOver() {
    submit();
    fixture.advance(100, first);

    assertEachGroupOnce(fixture.collect(second));
  }

  @Test
  void rolloutCompletesSoonAfterStoreOutage() {
    submit();
    fixture.advance(50, first);
    long endMillis = fixture.nowMillis() + 20_000;
    fixture.tables().failWhile(() -> fixture.nowMillis() < endMillis);
    fixture.collect(first);

    assertThat(fixture.nowMillis()).isAtMost(endMillis + MAX_RECOVERY_MILLIS);
  }

  @Test
  void storeOutageLosesNoGroups() {
    submit();
    fixture.advance(50, first);
    long endMillis = fixture.nowMillis() + 20_000;
    fixture.tables().failWhile(() -> fixture.nowMillis() < endMillis);

    assertEachGroupOnce(fixture.collect(first));
  }

  @Test
  void lostStoreResponsesDeliverAndBillGroupsOnce() {
    submit();
    fixture.advance(50, first);
    long endMillis = fixture.nowMillis() + 5_000;
    fixture.tables().loseResponsesWhile(() -> fixture.nowMillis() < endMillis);

    assertEachGroupOnce(fixture.collect(first));
    fixture.advance(5_000, first);
    assertThat(fixture.usage().stream().mapToLong(usage -> usage.completionTokens()).sum())
        .isEqualTo((long) GROUPS * SAMPLES * TOKENS);
  }

  @Test
  void repeatedCursorWithholdsGroupsBeyondStalenessBound() {
    submit();
    fixture.collect(first);
    second
        .service()
        .announce(new WeightAnnouncement(RolloutFixture.SERVICE, 3))
        .test()
        .assertComplete();

    second
        .service()
        .groups(RolloutFixture.KEY, 0, 0)
        .test()
        .assertValue(answer -> answer.groups().get(0).expired().orElse(false))
        .assertValue(answer -> answer.groups().get(0).samples().isEmpty());
  }

  @Test
  void repeatedSubmissionReturnsExistingRollout() {
    submit();

    fixture
        .submit(second, RolloutFixture.spec(GROUPS, SAMPLES))
        .assertValue(accepted -> !accepted.created());
  }

  @Test
  void differentRolloutWithSameIdIsRejected() {
    submit();

    fixture
        .submit(second, RolloutFixture.spec(1, 1))
        .assertError(e -> kind(e) == ErrorKind.IDEMPOTENCY_CONFLICT);
  }

  @Test
  void cancelledRolloutStartsNoFurtherAttempts() {
    submit();
    fixture.advance(100, first);
    second.service().cancel(RolloutFixture.KEY).test().assertComplete();
    fixture.advance(20_000, first);
    final int started = fixture.completions().startedCount();
    fixture.advance(20_000, first);

    assertThat(fixture.completions().startedCount()).isEqualTo(started);
    first
        .service()
        .groups(RolloutFixture.KEY, 0, 0)
        .test()
        .assertError(e -> kind(e) == ErrorKind.CANCELLED);
  }

  @Test
  void drainCompletesAndRecordsAttemptsInFlight() {
    submit();
    fixture.advance(100, first);
    TestObserver<Void> drained = first.service().drain().test();
    fixture.advance(5_000, first);

    drained.assertComplete();
    first.service().close();
    assertEachGroupOnce(fixture.collect(second));
  }

  private static ErrorKind kind(Throwable cause) {
    return ((FailureException) cause).failure().kind();
  }
}
