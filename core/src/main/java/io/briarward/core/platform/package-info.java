/**
 * The requests to the platform's table service and its responses, without input or output.
 *
 * <p>Start with {@link io.briarward.core.platform.Transaction}; {@link
 * io.briarward.core.platform.TableState} applies transactions in memory.
 */
package io.briarward.core.platform;
