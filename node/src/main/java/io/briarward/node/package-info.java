/**
 * The daemon round the decisions of {@code io.briarward.core}.
 *
 * <p>Start with {@link io.briarward.node.Node}, which puts the parts together.
 */
package io.briarward.node;
