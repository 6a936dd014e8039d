/**
 * Weight swaps on a node: reads what samplers report and, where this node holds the lease, orders
 * them to load the announced version.
 *
 * <p>Start with {@link io.briarward.node.weights.WeightService}. The logic is in {@link
 * io.briarward.core.weights}. All classes are confined to the node's event loop.
 */
package io.briarward.node.weights;
