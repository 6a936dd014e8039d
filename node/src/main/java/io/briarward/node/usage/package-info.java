/**
 * Counts usage on this node, copies it to peers and writes it to the table service.
 *
 * <p>Start with {@link io.briarward.node.usage.UsageMeter}; the decisions are made in {@code
 * io.briarward.core.usage}.
 */
package io.briarward.node.usage;
