/**
 * Which VMs are alive, judged from the platform's list and from probes between the VMs.
 *
 * <p>Start with {@link io.briarward.core.membership.Membership}, the state machine of one node. It
 * does no input or output: it is given messages and the time, and returns messages to send.
 */
package io.briarward.core.membership;
