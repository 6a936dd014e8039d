/** Accepts batches, runs their items on samplers and serves their results from any node. */
package io.briarward.node.batch;
