package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.streams.StreamOrigin;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The service and software version that can run one live request.
 *
 * <p>Only the version that began a resumable stream can continue it. All other requests can run at
 * any version. Confined to the event loop.
 */
final class ExchangeOrigin {
  private final LiveForwarder.Context context;
  private final LiveCall call;
  private Optional<StreamOrigin> found = Optional.empty();

  ExchangeOrigin(LiveForwarder.Context context, LiveCall call) {
    this.context = checkNotNull(context, "context");
    this.call = checkNotNull(call, "call");
  }

  /** Returns whether the request continues a stream, so that its origin is needed. */
  boolean isNeeded() {
    return isResumableStream() && call.resumption().isPresent();
  }

  private boolean isResumableStream() {
    return call.route().kind() == FleetRoute.Kind.RESUMABLE_STREAM;
  }

  /** Finds the origin of the stream, and calls one of the given actions once. */
  void find(Consumer<StreamOrigin> onFound, Consumer<Failure> onMissing, long retryAfterMillis) {
    ImmutableSet<String> services = call.route().services();
    var unused =
        call.resumption()
            .flatMap(LiveCall.Resumption::firstRequestId)
            .map(id -> context.origins().find(call.organisation(), id, services))
            .orElseGet(() -> context.origins().findSole(services))
            .subscribe(
                origin -> {
                  if (origin.isEmpty()) {
                    onMissing.accept(
                        Failure.notRun(
                            ErrorKind.ORIGIN_UNAVAILABLE,
                            "the software version that began the stream is not known",
                            retryAfterMillis));
                  } else if (!services.contains(origin.get().service())) {
                    onMissing.accept(
                        Failure.notRun(
                            ErrorKind.ORIGIN_UNAVAILABLE,
                            "the stream began at a service of another route"));
                  } else {
                    found = origin;
                    onFound.accept(origin.get());
                  }
                });
  }

  /** Returns whether an upstream can run the request. */
  boolean permits(UpstreamEntry upstream) {
    return found.map(each -> each.equals(StreamOrigin.of(upstream))).orElse(true);
  }

  /** Returns the failure of a request that no registered upstream can run, if it is one. */
  Optional<Failure> failureIfLost() {
    return found
        .filter(unused -> context.balancer().entries().stream().noneMatch(this::permits))
        .map(
            origin ->
                Failure.notRun(
                    ErrorKind.ORIGIN_UNAVAILABLE,
                    "no upstream has software version " + origin.softwareVersion()));
  }

  /** Handles the head of a successful response; it may begin a stream that is resumed later. */
  void onSuccess(UpstreamEntry upstream) {
    if (isResumableStream() && !isNeeded()) {
      context.origins().onBegun(call.organisation(), call.id(), StreamOrigin.of(upstream));
    }
  }
}
