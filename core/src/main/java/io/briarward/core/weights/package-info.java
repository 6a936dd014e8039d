/**
 * The announced weight version of each service, and its distribution to all samplers.
 *
 * <p>Start with {@link io.briarward.core.weights.AnnouncedVersion}, the row that staleness is
 * measured against, and {@link io.briarward.core.weights.SwapPlanner}, which orders the swaps of
 * one service in one data centre. No class in this package performs I/O; callers pass the time.
 */
package io.briarward.core.weights;
