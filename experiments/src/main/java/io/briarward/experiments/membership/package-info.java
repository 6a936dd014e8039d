/**
 * Measurements of membership, the spread of configurations and the withdrawal of keys.
 *
 * <p>{@link io.briarward.experiments.membership.VirtualCluster} runs the control state machines of
 * many nodes in virtual time over an unreliable network and store.
 */
package io.briarward.experiments.membership;
