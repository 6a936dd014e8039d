/**
 * The stand-in for the rate-limited weight store.
 *
 * <p>Start with {@link io.briarward.standins.weights.WeightStandIn}.
 */
package io.briarward.standins.weights;
