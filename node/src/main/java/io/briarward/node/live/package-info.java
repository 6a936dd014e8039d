/**
 * Forwarding of live requests, including authentication, admission, routing and retries.
 *
 * <p>{@link io.briarward.node.live.LiveProxy} accepts requests; a {@code LiveExchange} forwards one
 * of them. All code runs on the node's single event loop.
 */
package io.briarward.node.live;
