/**
 * The closed list of error kinds and the mapping of each kind to an HTTP answer.
 *
 * <p>Start with {@link io.briarward.core.errors.ErrorKind}; a failed operation carries a {@link
 * io.briarward.core.errors.Failure}.
 */
package io.briarward.core.errors;
