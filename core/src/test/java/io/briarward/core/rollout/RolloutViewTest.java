package io.briarward.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.TableState;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RolloutViewTest {
  private static final RolloutKey KEY = new RolloutKey("o", "r");
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final String NODE = "n";

  private final TableState tables = TableState.create();

  private RolloutView submitRollout() {
    SamplingParameters sampling = new SamplingParameters(10, 1, 1);
    RolloutSpec spec =
        new RolloutSpec(
            "r",
            "s",
            "p",
            1,
            ImmutableList.of(new GroupSpec("g", "p", 1, sampling)),
            Optional.empty(),
            Optional.empty());
    RolloutPolicy policy = new RolloutPolicy("p", "s", 1, TIMEOUT_MILLIS, 0);
    tables.commit(RolloutHeader.submit(spec, policy, 0).insert(KEY));
    return readView();
  }

  private RolloutView readView() {
    return RolloutView.create(KEY, tables.read(KEY.header()).orElseThrow());
  }

  private void record(RolloutView view, String object, long oldestVersion) {
    Outcome.Group group = new Outcome.Group(0, "g", oldestVersion, 3);
    assertThat(tables.commit(view.record(new Outcome(object, ImmutableList.of(group)))).committed())
        .isTrue();
    refresh(view);
  }

  private void refresh(RolloutView view) {
    ImmutableList<Row> outcomes = tables.scan(RolloutKey.OUTCOMES, KEY.prefix(), "", 10);
    view.addOutcomes(outcomes);
    view.addDeliveries(tables.scan(RolloutKey.DELIVERIES, KEY.prefix(), "", 10));
  }

  private static ErrorKind rejectionKind(DeliveryStep step) {
    return ((DeliveryStep.Refused) step).failure().kind();
  }

  @Test
  void waitsUntilDeadlineThenRejects() {
    RolloutView view = submitRollout();

    assertThat(view.nextStep(0, NODE, 0)).isInstanceOf(DeliveryStep.Wait.class);
    assertThat(rejectionKind(view.nextStep(0, NODE, TIMEOUT_MILLIS)))
        .isEqualTo(ErrorKind.DEADLINE_EXCEEDED);
  }

  @Test
  void rowsReadTwiceAreAddedOnce() {
    RolloutView view = submitRollout();
    record(view, "a", 1);
    refresh(view);
    DeliveryStep.Commit commit = (DeliveryStep.Commit) view.nextStep(0, NODE, 0);
    tables.commit(commit.transaction());
    refresh(view);
    refresh(view);

    assertThat(view.lastOutcomeKey()).isEqualTo(KEY.outcome(1).key());
    assertThat(view.nextStep(1, NODE, 0)).isInstanceOf(DeliveryStep.Finished.class);
  }

  @Test
  void outcomeWithNewerTokensIsDelivered() {
    RolloutView view = submitRollout();
    record(view, "a", 2);
    record(view, "b", 1);

    DeliveryStep.Commit commit = (DeliveryStep.Commit) view.nextStep(0, NODE, 0);
    assertThat(commit.delivery().groups().get(0).object()).isEqualTo("a");
  }

  @Test
  void nothingIsDeliveredAfterCancellation() {
    RolloutView view = submitRollout();
    record(view, "a", 1);
    DeliveryStep.Commit commit = (DeliveryStep.Commit) view.nextStep(0, NODE, 0);
    Row header = tables.read(KEY.header()).orElseThrow();
    tables.commit(view.header().cancel(KEY, header.version()));

    assertThat(tables.commit(commit.transaction()).committed()).isFalse();
    assertThat(rejectionKind(readView().nextStep(0, NODE, 0))).isEqualTo(ErrorKind.CANCELLED);
  }
}
