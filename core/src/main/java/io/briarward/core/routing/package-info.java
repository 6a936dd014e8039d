/**
 * Selection of the upstream for each request.
 *
 * <p>Start with {@link io.briarward.core.routing.Router}. It performs no I/O, starts no thread and
 * reads no clock: callers pass the current time and report the outcome of each dispatched request.
 *
 * <p>A decision usually compares a bounded number of candidates, so its cost does not grow with the
 * number of upstreams. The candidates are upstreams that are likely to have the prompt's prefix
 * cached, the owner of the request's group or prefix on a consistent-hash ring, and random samples.
 * The load of upstreams in the local data centre is tracked individually. Other data centres are
 * represented by an aggregate load and receive a bounded share of work.
 */
package io.briarward.core.routing;
