/**
 * The closed list of error kinds and the mapping of each kind to an HTTP answer.
 *
 * <p>Start with {@link io.briarward.core.errors.ErrorKind}; {@link
 * io.briarward.core.errors.Failure} describes a failed operation.
 */
package io.briarward.core.errors;
