/**
 * The stand-in of the platform's interface that orders upstreams by data centre.
 *
 * <p>Start with {@link io.briarward.standins.orders.OrderStandIn}.
 */
package io.briarward.standins.orders;
