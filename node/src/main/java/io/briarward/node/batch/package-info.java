/**
 * Accepts batches, runs their items on samplers and serves their results from any node.
 *
 * <p>Start with {@link io.briarward.node.batch.BatchService}. Everything here runs on the node's
 * event loop.
 */
package io.briarward.node.batch;
