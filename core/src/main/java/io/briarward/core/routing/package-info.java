/**
 * Choice of the upstream that a request is sent to.
 *
 * <p>Start with {@link io.briarward.core.routing.Router}. It performs no I/O, starts no thread and
 * reads no clock: callers pass the time and report what happened to each dispatched request.
 *
 * <p>A decision compares a bounded number of candidates: upstreams that hold the prompt's prefix,
 * the home of the request's group on a consistent-hash ring, and random samples. Its cost therefore
 * does not grow with the number of upstreams. Upstreams of the local data centre are known
 * individually; other data centres are known by an aggregate and receive a bounded share of work.
 */
package io.briarward.core.routing;
