/**
 * The node daemon, which carries out the decisions of {@code io.briarward.core}.
 *
 * <p>Start with {@link io.briarward.node.Node}, which creates and connects the components.
 */
package io.briarward.node;
