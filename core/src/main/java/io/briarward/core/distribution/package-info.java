/**
 * Versions of the configuration: how they are accepted, stored and distributed to all nodes.
 *
 * <p>Start with {@link io.briarward.core.distribution.ControlNode}, the state machine of one node.
 * {@link io.briarward.core.distribution.ConfigurationChange} accepts a new version by
 * compare-and-set on the rows defined by {@link io.briarward.core.distribution.StoreLayout}.
 * Versions are transferred as {@link io.briarward.core.distribution.ConfigurationDelta}. The
 * classes perform no I/O.
 */
package io.briarward.core.distribution;
