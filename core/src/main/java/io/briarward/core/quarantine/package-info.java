/**
 * Requests that end the upstreams that run them, which are recognised by their content and no
 * longer sent.
 *
 * <p>No class in this package performs I/O; callers pass the time.
 */
package io.briarward.core.quarantine;
