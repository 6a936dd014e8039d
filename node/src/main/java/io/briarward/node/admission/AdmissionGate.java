package io.briarward.node.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.admission.AdmissionDecisions;
import io.briarward.core.admission.AdmissionRequest;
import io.briarward.core.admission.Priority;
import io.briarward.core.errors.Failure;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Delays requests until {@link AdmissionControl} admits or rejects them.
 *
 * <p>Confined to the event loop of its scheduler. Example:
 *
 * <pre>{@code
 * gate.requestAdmission(service, organisation, Priority.LIVE, weight, dueAtMillis)
 *     .subscribe(admission -> run(admission), error -> reject(error));
 * }</pre>
 */
public final class AdmissionGate implements AutoCloseable {
  private final AdmissionControl control;
  private final Scheduler scheduler;
  private final Map<Long, SingleEmitter<Admission>> waiting = new HashMap<>();
  private Runnable queuedListener = () -> {};
  private Disposable timer = Disposable.disposed();
  private long timerAtMillis = Long.MAX_VALUE;
  private long lastId;

  private AdmissionGate(AdmissionControl control, Scheduler scheduler) {
    this.control = checkNotNull(control, "control");
    this.scheduler = checkNotNull(scheduler, "scheduler");
  }

  /** Creates a gate that applies the decisions of the given admission control. */
  public static AdmissionGate create(AdmissionControl control, Scheduler scheduler) {
    return new AdmissionGate(control, scheduler);
  }

  /** An admitted request, which holds its slot until it is ended. */
  public final class Admission {
    private final long id;

    private Admission(long id) {
      this.id = id;
    }

    /** Releases the slot to waiting requests; calls after the first have no effect. */
    public void end(Outcome outcome) {
      control.onFinished(id, outcome, nowMillis());
      settle();
    }
  }

  /**
   * Requests admission and waits for it.
   *
   * @param dueAtMillis the deadline of the response, in milliseconds of the scheduler's clock
   * @return the admission; fails with a {@link io.briarward.core.errors.FailureException} if the
   *     request is rejected; disposing it cancels the wait
   */
  public Single<Admission> requestAdmission(
      String service, String organisation, Priority priority, double weight, long dueAtMillis) {
    return Single.create(
        emitter -> {
          lastId++;
          AdmissionRequest request =
              new AdmissionRequest(lastId, service, organisation, priority, weight, dueAtMillis);
          offer(request, emitter);
        });
  }

  /** Sets the listener that is called when a request must wait, replacing any earlier one. */
  public void onQueued(Runnable listener) {
    queuedListener = checkNotNull(listener, "listener");
  }

  /** Admits or rejects waiting requests by the current shares, capacities and deadlines. */
  public void settle() {
    AdmissionDecisions decisions = control.poll(nowMillis());
    decisions.refused().forEach(refused -> reject(refused.id(), refused.failure()));
    decisions.admitted().forEach(this::admit);
    scheduleDeadline();
  }

  @Override
  public void close() {
    timer.dispose();
  }

  private void offer(AdmissionRequest request, SingleEmitter<Admission> emitter) {
    long id = request.id();
    waiting.put(id, emitter);
    emitter.setCancellable(() -> cancel(id));
    control
        .offer(request, nowMillis())
        .match(() -> admit(id), this::onRequestQueued, failure -> reject(id, failure));
  }

  private boolean onRequestQueued() {
    queuedListener.run();
    return scheduleDeadline();
  }

  private boolean admit(long id) {
    SingleEmitter<Admission> emitter = waiting.remove(id);
    boolean cancelled = emitter == null || emitter.isDisposed();
    if (cancelled) {
      new Admission(id).end(Outcome.FAILED);
    } else {
      emitter.onSuccess(new Admission(id));
    }
    return !cancelled;
  }

  private boolean reject(long id, Failure failure) {
    SingleEmitter<Admission> emitter = waiting.remove(id);
    return emitter != null && emitter.tryOnError(failure.toException());
  }

  private void cancel(long id) {
    if (waiting.remove(id) != null) {
      control.onCancelled(id);
    }
  }

  /** Sets the timer to the next deadline, unless it is already set to that time or earlier. */
  private boolean scheduleDeadline() {
    OptionalLong deadlineMillis = control.nextDeadlineMillis(nowMillis());
    if (deadlineMillis.isEmpty() || deadlineMillis.getAsLong() >= timerAtMillis) {
      return false;
    }
    timer.dispose();
    timerAtMillis = deadlineMillis.getAsLong();
    long delayMillis = Math.max(1, timerAtMillis - nowMillis());
    timer = scheduler.scheduleDirect(this::onTimer, delayMillis, TimeUnit.MILLISECONDS);
    return true;
  }

  private void onTimer() {
    timerAtMillis = Long.MAX_VALUE;
    settle();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
