package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.SubmissionMemory;
import io.briarward.core.memory.ByteBudget;
import io.vertx.core.buffer.Buffer;

/**
 * A submission in memory. Whoever loads it closes it once it is no longer used.
 *
 * @param memory the memory of the submission, which closing gives back
 */
public record LoadedBatch(BatchSpec spec, SubmissionMemory memory) implements AutoCloseable {
  /** Validates the components. */
  public LoadedBatch {
    checkNotNull(spec, "spec");
    checkNotNull(memory, "memory");
  }

  /**
   * Decodes a submission.
   *
   * @throws IllegalArgumentException if {@code bytes} is malformed
   * @throws io.briarward.core.errors.FailureException if it does not fit into the budget
   */
  static LoadedBatch decode(String id, Buffer bytes, BatchDecoder decoder, ByteBudget budget) {
    SubmissionMemory memory = SubmissionMemory.open(budget);
    try {
      return new LoadedBatch(decoder.decode(id, bytes, memory), memory);
    } catch (RuntimeException e) {
      memory.close();
      throw e;
    }
  }

  @Override
  public void close() {
    memory.close();
  }
}
