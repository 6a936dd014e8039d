/**
 * This node's view of the deployment, kept by following tables of the store: the configuration, the
 * upstreams, the announced weight versions and the other nodes.
 *
 * <p>Start with {@link io.briarward.node.fleet.TableWatch}, which follows one table, and {@link
 * io.briarward.node.fleet.FleetState}, which holds the view.
 */
package io.briarward.node.fleet;
