/**
 * Stand-ins for the outside systems that briarward uses, each serving one interface over HTTP.
 *
 * <p>Start with {@link io.briarward.standins.StandIns}.
 */
package io.briarward.standins;
