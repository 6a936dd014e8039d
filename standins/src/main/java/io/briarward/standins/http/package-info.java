/**
 * The common parts of the stand-ins: the HTTP server, the control endpoints and fault injection.
 *
 * <p>Start with {@link io.briarward.standins.http.StandInServer}; stand-ins implement {@link
 * io.briarward.standins.http.StandIn}.
 */
package io.briarward.standins.http;
