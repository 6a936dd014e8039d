package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.fleet.PacedBacklog;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The wait of one live request for a paced upstream that admits it. Confined to the event loop.
 *
 * <p>Requests for services that are not paced never wait.
 */
final class ExchangeAdmission {
  private final LiveForwarder.Context context;
  private final LiveCall call;
  private Optional<String> awaitedService = Optional.empty();
  private OptionalLong retryAfterMillis = OptionalLong.empty();
  private Disposable wait = Disposable.disposed();

  ExchangeAdmission(LiveForwarder.Context context, LiveCall call) {
    this.context = checkNotNull(context, "context");
    this.call = checkNotNull(call, "call");
  }

  /**
   * Waits if an upstream of the service is expected to complete the request in time.
   *
   * @param onWaited called after the wait, unless it is cancelled
   * @return whether the request waits
   */
  boolean tryWait(String service, Runnable onWaited) {
    Optional<PacedBacklog.Decision> decision =
        context
            .balancer()
            .backlog()
            .decide(service, call.id(), call.deadlineMillis(), context.nowMillis());
    if (decision.filter(PacedBacklog.Decision::waits).isEmpty()) {
      decision.ifPresent(rejected -> retryAfterMillis = OptionalLong.of(rejected.afterMillis()));
      return false;
    }
    cancel();
    awaitedService = Optional.of(service);
    context.balancer().backlog().onWaiting(service);
    wait =
        context
            .scheduler()
            .scheduleDirect(
                () -> {
                  cancel();
                  onWaited.run();
                },
                decision.get().afterMillis(),
                TimeUnit.MILLISECONDS);
    return true;
  }

  /** Returns the time after which the caller may return, empty if it was not decided to reject. */
  OptionalLong retryAfterMillis() {
    return retryAfterMillis;
  }

  /** Ends the wait, if there is one. */
  void cancel() {
    wait.dispose();
    awaitedService.ifPresent(context.balancer().backlog()::onWaitEnded);
    awaitedService = Optional.empty();
  }
}
