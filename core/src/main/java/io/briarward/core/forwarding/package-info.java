/**
 * Rules for forwarding requests to upstreams and responses to callers.
 *
 * <p>Start with {@link io.briarward.core.forwarding.HeaderRules}; {@link
 * io.briarward.core.forwarding.RouteTable} finds the route of a request.
 */
package io.briarward.core.forwarding;
