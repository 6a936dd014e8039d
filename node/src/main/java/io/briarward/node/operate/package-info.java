/**
 * The operators' HTTP interface: configuration, keys and status.
 *
 * <p>Start with {@link io.briarward.node.operate.OperatorApi}.
 */
package io.briarward.node.operate;
