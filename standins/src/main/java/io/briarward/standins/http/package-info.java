/**
 * What all stand-ins share: the HTTP server, the controls and the faults.
 *
 * <p>Start with {@link io.briarward.standins.http.StandInServer}; a stand-in implements {@link
 * io.briarward.standins.http.StandIn}.
 */
package io.briarward.standins.http;
