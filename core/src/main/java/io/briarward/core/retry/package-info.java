/**
 * Whether a failed attempt may be repeated, and what may be stated about a request that failed.
 *
 * <p>Start with {@link io.briarward.core.retry.RetryPolicy}, which decides on attempts recorded in
 * an {@link io.briarward.core.retry.AttemptLog}; {@link io.briarward.core.retry.AnswerGuard} tells
 * whole answers from parts of one. Nothing here performs I/O, starts a thread or reads a clock.
 */
package io.briarward.core.retry;
