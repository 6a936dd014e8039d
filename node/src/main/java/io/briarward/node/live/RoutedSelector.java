package io.briarward.node.live;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.RouteRequest;
import io.briarward.core.routing.RouteResult;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.UpstreamChoice;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Selects upstreams with a {@link Router}. Confined to the event loop. */
public final class RoutedSelector implements UpstreamSelector {
  private final Router router;
  private final LongSupplier nowMillis;

  private RoutedSelector(Router router, LongSupplier nowMillis) {
    this.router = checkNotNull(router, "router");
    this.nowMillis = checkNotNull(nowMillis, "nowMillis");
  }

  /** Creates a selector that reads the time from {@code nowMillis}. */
  public static RoutedSelector create(Router router, LongSupplier nowMillis) {
    return new RoutedSelector(router, nowMillis);
  }

  @Override
  public Optional<Slot> select(Selection selection) {
    RouteRequest.Builder request =
        RouteRequest.builder(selection.service().id(), selection.partner())
            .reclaimableShare(selection.reclaimableShare())
            .dueAtMillis(selection.dueAtMillis())
            .excluded(selection.excluded());
    selection
        .prompt()
        .ifPresent(prompt -> request.prefixHash(prompt.prefixHash()).promptTokens(prompt.tokens()));
    return router
        .choose(request.build(), nowMillis.getAsLong())
        .match(this::createSlot, this::noSlot);
  }

  private Optional<Slot> createSlot(RouteResult.Chosen chosen) {
    return Optional.of(new RoutedSlot(chosen.choice()));
  }

  private Optional<Slot> noSlot(RouteResult.Rejected rejected) {
    return Optional.empty();
  }

  private final class RoutedSlot implements Slot {
    private final UpstreamChoice choice;

    RoutedSlot(UpstreamChoice choice) {
      this.choice = choice;
    }

    @Override
    public Upstream upstream() {
      return choice.upstream();
    }

    @Override
    public void release(AttemptOutcome outcome) {
      switch (outcome) {
        case ANSWERED -> router.onFinished(choice, nowMillis.getAsLong());
        case FAILED -> router.onFailed(choice, nowMillis.getAsLong());
        case ABANDONED -> router.onReleased(choice, nowMillis.getAsLong());
        default -> throw new AssertionError(outcome);
      }
    }
  }
}
