/**
 * Runs rollouts on a node: the trainers' HTTP interface, the owners of shards and the streams from
 * samplers.
 *
 * <p>Start with {@link io.briarward.node.rollout.RolloutService}. {@link io.briarward.core.rollout}
 * makes the decisions. Everything here runs on the node's event loop.
 */
package io.briarward.node.rollout;
