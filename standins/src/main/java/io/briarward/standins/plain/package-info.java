/**
 * The stand-in for a plain service.
 *
 * <p>Start with {@link io.briarward.standins.plain.PlainStandIn}.
 */
package io.briarward.standins.plain;
