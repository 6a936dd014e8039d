/**
 * Small stand-ins for everything that briarward talks to, each serving one interface over HTTP.
 *
 * <p>Start with {@link io.briarward.standins.StandIns}.
 */
package io.briarward.standins;
