/**
 * Idempotency keys: a repeated request with the same key returns the first answer.
 *
 * <p>Start with {@link io.briarward.core.idempotency.IdempotencyRecord}, the stored record of a
 * request, and {@link io.briarward.core.idempotency.IdempotencyDecision}, how a node handles it.
 */
package io.briarward.core.idempotency;
