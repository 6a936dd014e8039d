/**
 * Carries out the duties that one node at a time holds the lease of: upstream orders and reports.
 *
 * <p>Start with {@link io.briarward.node.duty.Duties}; the decisions are made in {@code
 * io.briarward.core.lease}, {@code io.briarward.core.capacity} and {@code io.briarward.core.usage}.
 */
package io.briarward.node.duty;
