/**
 * What a request keeps and what it loses on its way to an upstream and back.
 *
 * <p>Start with {@link io.briarward.core.forwarding.HeaderRules}; {@link
 * io.briarward.core.forwarding.RouteTable} finds the route of a request.
 */
package io.briarward.core.forwarding;
