/**
 * Weight versions: the announced version of each service, and its spread to all samplers.
 *
 * <p>Start with {@link io.briarward.core.weights.AnnouncedVersion}, the row that staleness is
 * measured against, and {@link io.briarward.core.weights.SwapPlanner}, which orders the swaps of
 * one service in one data centre. Nothing here does input or output; time is passed in.
 */
package io.briarward.core.weights;
