/**
 * Carries probes between the nodes and the platform's list of VMs to the members' view.
 *
 * <p>Start with {@link io.briarward.node.membership.MembershipCodec}, which translates between
 * messages and their protobuf form.
 */
package io.briarward.node.membership;
