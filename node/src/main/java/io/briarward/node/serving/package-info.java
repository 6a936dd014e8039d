/**
 * Request routing and admission of a node, connected to its configuration, upstreams and peers.
 *
 * <p>Start with {@link io.briarward.node.serving.Serving}.
 */
package io.briarward.node.serving;
