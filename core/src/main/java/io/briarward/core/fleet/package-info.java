/**
 * The configuration of the deployment that a node serves, its registered upstreams and the choice
 * of the upstream for a request.
 *
 * <p>No class in this package performs I/O; callers pass the time.
 */
package io.briarward.core.fleet;
