/**
 * Rollouts on a node: the trainers' HTTP interface, the owners of shards and the streams from
 * engines.
 *
 * <p>Start with {@link io.briarward.node.rollout.RolloutService}. The decisions are made in {@link
 * io.briarward.core.rollout}. Everything here runs on the node's event loop.
 */
package io.briarward.node.rollout;
