/**
 * Live requests: from the caller through admission and routing to an upstream and back.
 *
 * <p>Start with {@link io.briarward.node.live.LiveProxy}; a {@code LiveExchange} carries one
 * request. Everything runs on the node's one event loop.
 */
package io.briarward.node.live;
