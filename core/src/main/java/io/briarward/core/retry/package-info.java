/**
 * Retry and hedging decisions, and whether a failed request may have run.
 *
 * <p>Start with {@link io.briarward.core.retry.RetryPolicy}, which decides on attempts recorded in
 * an {@link io.briarward.core.retry.AttemptLog}. {@link io.briarward.core.retry.AnswerGuard}
 * detects truncated responses. No class in this package performs I/O, starts a thread or reads a
 * clock.
 */
package io.briarward.core.retry;
