/**
 * Bounds on the memory that concurrent work takes together.
 *
 * <p>Start with {@link io.briarward.core.memory.ByteBudget}.
 */
package io.briarward.core.memory;
