/**
 * A node whose configuration, upstreams and duties all come from the platform's store.
 *
 * <p>Nodes know each other through rows of the store only. What speaks to callers, samplers and the
 * store is passed in.
 */
package io.briarward.node.gateway;
