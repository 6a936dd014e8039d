/**
 * Measurements of membership, the spread of configurations and the withdrawal of keys.
 *
 * <p>Start with {@link io.briarward.experiments.membership.VirtualCluster}, which runs the control
 * state machines of many nodes in virtual time over a faulty network and a faulty store.
 */
package io.briarward.experiments.membership;
