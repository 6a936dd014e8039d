/**
 * Batches: items that are submitted together, run on samplers in the background and listed as
 * results at fixed positions.
 *
 * <p>{@link io.briarward.core.batch.BatchRun} schedules the items and collects their results;
 * {@link io.briarward.core.batch.BatchHead} is the row that fences off previous owners.
 */
package io.briarward.core.batch;
