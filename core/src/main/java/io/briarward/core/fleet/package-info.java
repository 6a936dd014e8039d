/**
 * The configuration of the deployment that a node serves, its registered upstreams and the choice
 * of the upstream for a request.
 *
 * <p>Nothing in this package performs input or output; the time is passed in.
 */
package io.briarward.core.fleet;
