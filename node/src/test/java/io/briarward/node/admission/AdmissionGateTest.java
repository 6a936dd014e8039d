package io.briarward.node.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.admission.Priority;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdmissionGateTest {
  private final TestScheduler scheduler = new TestScheduler();
  private final AdmissionControl control = AdmissionControl.create();
  private final AdmissionGate gate = AdmissionGate.create(control, scheduler);

  @BeforeEach
  void setCapacityToOneRequest() {
    control.replaceOrganisations(
        ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 1_000, 100)), 1, 0);
    control.setCapacity("order-desk", 1);
  }

  @Test
  void waitingRequestIsAdmittedWhenAnotherEnds() {
    TestObserver<AdmissionGate.Admission> first = enter(10_000);
    TestObserver<AdmissionGate.Admission> second = enter(10_000);
    second.assertNotComplete();
    first.values().get(0).end(Outcome.IN_TIME);
    second.assertComplete();
  }

  @Test
  void waitingRequestIsRejectedAtItsDeadline() {
    enter(10_000);
    TestObserver<AdmissionGate.Admission> second = enter(500);
    scheduler.advanceTimeBy(501, TimeUnit.MILLISECONDS);
    second.assertError(
        error ->
            error instanceof FailureException failed
                && failed.failure().kind() == ErrorKind.OVERLOADED);
  }

  @Test
  void cancelledWaitingRequestHoldsNoSlot() {
    TestObserver<AdmissionGate.Admission> first = enter(10_000);
    enter(10_000).dispose();
    first.values().get(0).end(Outcome.IN_TIME);
    assertThat(control.outstanding("order-desk")).isEqualTo(0);
  }

  private TestObserver<AdmissionGate.Admission> enter(long dueAtMillis) {
    return gate.enter("order-desk", "mill", Priority.LIVE, 1, dueAtMillis).test();
  }
}
