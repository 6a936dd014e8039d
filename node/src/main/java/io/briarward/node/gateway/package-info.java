/**
 * A node that reads its configuration, upstreams and leases from the platform's store.
 *
 * <p>Nodes discover each other only through rows of the store. The clients and protocols for
 * callers, samplers and the store are passed in as {@link
 * io.briarward.node.gateway.GatewayDependencies}.
 */
package io.briarward.node.gateway;
