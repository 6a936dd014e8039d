package io.briarward.core.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {
  private static final String SERVICE = "order-desk";

  private final AdmissionControl control = AdmissionControl.create();
  private long lastId;

  @BeforeEach
  void addOrganisations() {
    control.replaceOrganisations(
        ImmutableList.of(
            new Organisation("mill", "vatuwaqa", 1, 1_000, 100),
            new Organisation("port", "kitamon", 1, 1_000, 100),
            new Organisation("small", "kitamon", 1, 1, 1)),
        1,
        0);
    control.setCapacity(SERVICE, 2);
  }

  @Test
  void admitsWhileSlotsAreFree() {
    assertThat(offer("mill", 10_000, 0)).isInstanceOf(AdmissionResult.Admitted.class);
  }

  @Test
  void queuesWhenNoSlotIsFree() {
    fillSlots();
    assertThat(offer("mill", 10_000, 0)).isInstanceOf(AdmissionResult.Queued.class);
  }

  @Test
  void admitsWaitingRequestWhenSlotBecomesFree() {
    fillSlots();
    offer("port", 10_000, 0);
    control.onFinished(1, Outcome.IN_TIME, 100);
    assertThat(control.poll(100).admitted()).containsExactly(3L);
  }

  @Test
  void servesEarliestDeadlineFirst() {
    fillSlots();
    offer("mill", 10_000, 0);
    offer("mill", 5_000, 0);
    control.onFinished(1, Outcome.IN_TIME, 100);
    assertThat(control.poll(100).admitted()).containsExactly(4L);
  }

  @Test
  void rejectsWaitingRequestThatCannotMeetItsDeadline() {
    fillSlots();
    offer("mill", 1_000, 0);
    assertThat(control.poll(1_001).refused()).hasSize(1);
  }

  @Test
  void rejectsAtOnceWhenDeadlineCannotBeMet() {
    fillSlots();
    control.onFinished(1, Outcome.IN_TIME, 1_000);
    offer("mill", 20_000, 1_000);
    assertThat(rejection(offer("mill", 1_500, 1_000)).kind()).isEqualTo(ErrorKind.OVERLOADED);
  }

  @Test
  void rejectionOverLimitCarriesRetryDelay() {
    Failure failure = rejection(offerOverLimit());
    assertThat(failure.kind()).isEqualTo(ErrorKind.LIMIT_EXCEEDED);
    assertThat(failure.retryAfterMillis()).hasValue(990L);
  }

  @Test
  void rejectionStatesThatNothingRan() {
    assertThat(rejection(offerOverLimit()).runState()).isEqualTo(RunState.NOT_RUN);
  }

  @Test
  void rejectsRequestThatWaitedForItsLimitAsOverLimit() {
    offer("small", 10_000, 0);
    offer("small", 500, 0);
    Failure failure = control.poll(501).refused().get(0).failure();
    assertThat(failure.kind()).isEqualTo(ErrorKind.LIMIT_EXCEEDED);
  }

  @Test
  void queuesNewDemandUntilItsShareArrives() {
    control.setShare("small", Share.ZERO, 0);
    assertThat(offer("small", 500, 0)).isInstanceOf(AdmissionResult.Queued.class);
    control.setShare("small", new Share(1, 1), 50);
    assertThat(control.poll(50).admitted()).containsExactly(1L);
  }

  @Test
  void cancelledRequestIsNotAdmitted() {
    fillSlots();
    offer("mill", 10_000, 0);
    control.onCancelled(3);
    control.onFinished(1, Outcome.IN_TIME, 100);
    assertThat(control.poll(100).admitted()).isEmpty();
  }

  @Test
  void fullQueueRejectsFromLongestBacklog() {
    fillSlots();
    offer("port", 100_000, 0);
    for (int i = 0; i < AdmissionControl.MAX_WAITING; i++) {
      offer("mill", 100_000, 0);
    }
    assertThat(control.outstanding(SERVICE)).isEqualTo(2 + AdmissionControl.MAX_WAITING);
    control.onFinished(1, Outcome.FAILED, 0);
    assertThat(control.poll(0).admitted()).containsExactly(3L);
  }

  /** Offers a request just after another, to an organisation limited to one a second. */
  private AdmissionResult offerOverLimit() {
    offer("small", 10_000, 0);
    control.onFinished(1, Outcome.IN_TIME, 10);
    offer("small", 10_000, 1_500);
    control.onFinished(2, Outcome.IN_TIME, 1_510);
    return offer("small", 1_700, 1_510);
  }

  private void fillSlots() {
    offer("mill", 10_000, 0);
    offer("mill", 10_000, 0);
  }

  private AdmissionResult offer(String organisation, long dueAtMillis, long nowMillis) {
    lastId++;
    return control.offer(
        new AdmissionRequest(lastId, SERVICE, organisation, Priority.LIVE, 1, dueAtMillis),
        nowMillis);
  }

  private static Failure rejection(AdmissionResult result) {
    return ((AdmissionResult.Rejected) result).failure();
  }
}
