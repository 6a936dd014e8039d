/**
 * Usage metering on a node: counts usage, copies it to peers and writes it to the table service.
 *
 * <p>Start with {@link io.briarward.node.usage.UsageMeter}; the logic is in {@code
 * io.briarward.core.usage}.
 */
package io.briarward.node.usage;
