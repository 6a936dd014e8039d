package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.Transaction;

/** What a node does next for a trainer that asks for groups. */
public sealed interface DeliveryStep {
  /**
   * Answers with groups that were fixed before.
   *
   * @param cursor the cursor of the answer
   * @param done whether this is the last delivery of a finished rollout
   * @param groups the groups in order
   */
  record Serve(long cursor, boolean done, ImmutableList<Entry> groups) implements DeliveryStep {}

  /**
   * A group of an answer.
   *
   * @param place where it lies
   * @param fresh whether its samples go out; otherwise it aged beyond the bound since it was fixed
   */
  record Entry(Delivery.Place place, boolean fresh) {}

  /**
   * Fixes the next delivery, then answers with it.
   *
   * <p>The samples are fetched before the commit, so that they go out at once after it. When the
   * commit conflicts or its answer is lost, the view is read again and asked for a new step.
   *
   * @param transaction holds only while nothing that the decision rests on has changed
   * @param delivery what the transaction writes
   * @param serve the answer after the commit
   */
  record Commit(Transaction transaction, Delivery delivery, Serve serve) implements DeliveryStep {}

  /** Nothing new: waits for groups. */
  record Wait() implements DeliveryStep {}

  /** Every group was delivered up to the trainer's cursor. */
  record Finished() implements DeliveryStep {}

  /**
   * The trainer's question cannot be answered.
   *
   * @param failure the reason
   */
  record Refused(Failure failure) implements DeliveryStep {}
}
