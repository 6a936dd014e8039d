/**
 * Versions of the configuration: how they are accepted, stored and spread to all nodes.
 *
 * <p>Start with {@link io.briarward.core.distribution.ControlNode}, the state machine of one node.
 * {@link io.briarward.core.distribution.ConfigurationChange} accepts a new version by
 * compare-and-set on the rows that {@link io.briarward.core.distribution.StoreLayout} lays out;
 * versions travel as {@link io.briarward.core.distribution.ConfigurationDelta}. Nothing here does
 * input or output.
 */
package io.briarward.core.distribution;
