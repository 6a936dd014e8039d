/**
 * The protobuf encoding of membership messages between nodes.
 *
 * <p>Start with {@link io.briarward.node.membership.MembershipCodec}.
 */
package io.briarward.node.membership;
