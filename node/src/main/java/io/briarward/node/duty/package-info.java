/**
 * Duties that only the holder of a lease carries out, one node at a time: upstream orders, weight
 * swaps and usage reports.
 *
 * <p>Start with {@link io.briarward.node.duty.Duties}. The decisions are made by the state machines
 * in {@code io.briarward.core.lease}, {@code io.briarward.core.capacity} and {@code
 * io.briarward.core.usage}; this package executes their actions.
 */
package io.briarward.node.duty;
