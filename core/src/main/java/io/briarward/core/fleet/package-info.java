/**
 * What a node knows of the deployment it serves: its routes, organisations and upstreams, and which
 * upstream takes the next request.
 *
 * <p>Nothing here does input or output; every time is passed in.
 */
package io.briarward.core.fleet;
