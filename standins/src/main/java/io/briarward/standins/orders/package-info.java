/**
 * The stand-in for the platform's interface that orders upstreams in a data centre.
 *
 * <p>Start with {@link io.briarward.standins.orders.OrderStandIn}.
 */
package io.briarward.standins.orders;
