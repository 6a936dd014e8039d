package io.briarward.core.errors;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The closed list of error kinds, each with its HTTP status, retry rule and title.
 *
 * <p>The table is printed by {@code briarward errors}. Immutable and thread-safe.
 */
public enum ErrorKind {
  MALFORMED_REQUEST("malformed-request", 400, false, "The request cannot be read."),
  INVALID_CONFIGURATION("invalid-configuration", 422, false, "The configuration breaks a rule."),
  MISSING_KEY("missing-key", 401, false, "The route needs a key and none was given."),
  UNKNOWN_KEY("unknown-key", 401, false, "The key is unknown or was withdrawn."),
  FORBIDDEN("forbidden", 403, false, "The key does not grant this operation."),
  NO_ROUTE("no-route", 404, false, "No route matches the host and path."),
  NOT_FOUND("not-found", 404, false, "The named resource does not exist."),
  VERSION_CONFLICT("version-conflict", 409, false, "Another writer changed the resource first."),
  IDEMPOTENCY_CONFLICT(
      "idempotency-conflict", 409, false, "The idempotency key was used for another request."),
  IN_PROGRESS("in-progress", 409, true, "The first request with this key is still running."),
  BODY_TOO_LARGE("body-too-large", 413, false, "The body exceeds the size limit."),
  BODIES_TOO_LARGE(
      "bodies-too-large", 503, true, "The bodies of all requests exceed the node's memory."),
  TOO_MANY_TOKENS(
      "too-many-tokens", 413, false, "No upstream has memory for the tokens of the request."),
  HEADERS_TOO_LARGE("headers-too-large", 431, false, "The headers exceed the size limit."),
  LIMIT_EXCEEDED("limit-exceeded", 429, true, "The organisation is over its limit."),
  OVERLOADED("overloaded", 503, true, "The due time cannot be met at the present load."),
  NO_UPSTREAM("no-upstream", 503, true, "No upstream of the service can take the request."),
  QUARANTINED("quarantined", 503, true, "Upstreams ended while they ran this request."),
  ORIGIN_UNAVAILABLE(
      "origin-unavailable", 503, true, "No upstream is known that can continue the stream."),
  NOT_READY("not-ready", 503, true, "The node does not accept this work at present."),
  STOPPING("stopping", 503, true, "The node is shutting down."),
  STORE_UNAVAILABLE("store-unavailable", 503, true, "The platform's store does not answer."),
  STALE_BOUND("stale-bound", 503, true, "No upstream runs weights within the staleness bound."),
  DEADLINE_EXCEEDED("deadline-exceeded", 504, true, "The due time passed without an answer."),
  UPSTREAM_FAILED("upstream-failed", 502, true, "The upstream broke off or answered wrongly."),
  CANCELLED("cancelled", 410, false, "The operation was cancelled."),
  INTERNAL("internal", 500, false, "A defect in the service.");

  private final String label;
  private final int httpStatus;
  private final boolean retryable;
  private final String title;

  ErrorKind(String label, int httpStatus, boolean retryable, String title) {
    checkArgument(httpStatus >= 400, "httpStatus is %s, expected >= 400", httpStatus);
    this.label = label;
    this.httpStatus = httpStatus;
    this.retryable = retryable;
    this.title = title;
  }

  /** Returns the stable identifier used in problem documents, logs and metrics. */
  public String label() {
    return label;
  }

  /** Returns the HTTP status code of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether the caller may retry; if so, the answer may have a {@code Retry-After} header.
   */
  public boolean retryable() {
    return retryable;
  }

  /** Returns the title, a one-sentence description. */
  public String title() {
    return title;
  }
}
