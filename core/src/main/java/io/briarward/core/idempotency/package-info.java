/**
 * Requests that carry an idempotency key, so that a repeat gets the first answer.
 *
 * <p>Start with {@link io.briarward.core.idempotency.IdempotencyRecord}, the row that remembers a
 * request, and {@link io.briarward.core.idempotency.IdempotencyDecision}, what a node does on it.
 */
package io.briarward.core.idempotency;
