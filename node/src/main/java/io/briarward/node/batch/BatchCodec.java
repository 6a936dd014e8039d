package io.briarward.node.batch;

import io.briarward.core.batch.BatchSpec;
import io.vertx.core.buffer.Buffer;

/** Reads a submission from the bytes that a caller sent, which the store keeps as they are. */
@FunctionalInterface
public interface BatchCodec {
  /**
   * Reads the submission of a batch.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  BatchSpec decode(String id, Buffer bytes);
}
