/**
 * Rules for streams that continue at another upstream.
 *
 * <p>Start with {@link io.briarward.core.streams.StreamOrigin}.
 */
package io.briarward.core.streams;
