/**
 * Group membership: which VMs are alive according to the platform's list and to probes between the
 * VMs.
 *
 * <p>Start with {@link io.briarward.core.membership.Membership}, the state machine of one node. It
 * performs no I/O: callers pass received messages and the time, and send the returned messages.
 */
package io.briarward.core.membership;
