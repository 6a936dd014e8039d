package io.briarward.node.batch;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.SubmissionMemory;
import io.vertx.core.buffer.Buffer;
import java.util.Set;

/** Decodes a submission from the bytes that a caller sent, which the store keeps unchanged. */
@FunctionalInterface
public interface BatchDecoder {
  /**
   * Decodes the submission of a batch.
   *
   * @param memory reserves the memory of the decoded submission while it is decoded
   * @throws IllegalArgumentException if {@code bytes} is malformed
   * @throws io.briarward.core.errors.FailureException if the submission does not fit into memory
   */
  BatchSpec decode(String id, Buffer bytes, SubmissionMemory memory);

  /**
   * Returns the decoded bodies of those of the given items that a submission has.
   *
   * @throws IllegalArgumentException if {@code bytes} is malformed
   */
  default ImmutableMap<String, byte[]> itemBodies(Buffer bytes, Set<String> itemIds) {
    return decode("submission", bytes, SubmissionMemory.unbounded()).items().stream()
        .filter(item -> itemIds.contains(item.id()))
        .collect(ImmutableMap.toImmutableMap(BatchItem::id, BatchItem::body));
  }
}
