/**
 * Batches: many items that are submitted at once, run on samplers in the background and listed as
 * results whose positions never change.
 *
 * <p>{@link io.briarward.core.batch.BatchRun} decides which item runs next and what its result is;
 * {@link io.briarward.core.batch.BatchHead} is the row that fences one owner against another.
 */
package io.briarward.core.batch;
