/**
 * The closed list of error kinds and the table from each kind to its answer.
 *
 * <p>Start with {@link io.briarward.core.errors.ErrorKind}; a failed operation carries a {@link
 * io.briarward.core.errors.Failure}.
 */
package io.briarward.core.errors;
