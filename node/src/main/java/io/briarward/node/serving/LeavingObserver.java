package io.briarward.node.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.http.HttpClientRequest;
import java.util.function.LongSupplier;

/**
 * Tells the catalogue which upstreams say in their responses that they leave.
 *
 * <p>Confined to the event loop.
 */
final class LeavingObserver {
  /** The header of every response of an upstream that leaves. */
  private static final String LEAVING_HEADER = "X-Upstream-Leaving";

  private final UpstreamCatalogue catalogue;
  private final LongSupplier nowMillis;

  LeavingObserver(UpstreamCatalogue catalogue, LongSupplier nowMillis) {
    this.catalogue = checkNotNull(catalogue, "catalogue");
    this.nowMillis = checkNotNull(nowMillis, "nowMillis");
  }

  /** Observes the response to a request that has not been sent. */
  void observe(String upstreamId, HttpClientRequest request) {
    long openedAtMillis = nowMillis.getAsLong();
    request
        .response()
        .onSuccess(
            response ->
                catalogue.onResponse(
                    upstreamId,
                    response.headers().contains(LEAVING_HEADER),
                    openedAtMillis,
                    nowMillis.getAsLong()));
  }
}
