package io.briarward.node.batch;

import io.briarward.core.batch.BatchSpec;
import io.vertx.core.buffer.Buffer;

/** Decodes a submission from the bytes that a caller sent, which the store keeps unchanged. */
@FunctionalInterface
public interface BatchCodec {
  /**
   * Decodes the submission of a batch.
   *
   * @throws IllegalArgumentException if {@code bytes} is malformed
   */
  BatchSpec decode(String id, Buffer bytes);
}
