package io.briarward.core.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.Transaction;

/** The next step of a node that serves a trainer's request for groups. */
public sealed interface DeliveryStep {
  /**
   * Answers with a delivery that is already committed.
   *
   * @param cursor the cursor of the answer
   * @param done whether this is the last delivery of a finished rollout
   * @param groups the groups in delivery order
   */
  record Serve(long cursor, boolean done, ImmutableList<Entry> groups) implements DeliveryStep {}

  /**
   * A group in an answer.
   *
   * @param place the location of the group
   * @param fresh whether the samples are sent; false if the group has exceeded the staleness bound
   *     since its delivery was committed
   */
  record Entry(Delivery.Place place, boolean fresh) {}

  /**
   * Commits the next delivery, then answers with it.
   *
   * <p>The samples are fetched before the commit, so that they can be sent immediately after it. If
   * the commit conflicts or its response is lost, the caller refreshes the view and asks it for a
   * new step.
   *
   * @param transaction conflicts if anything that the decision depends on has changed
   * @param delivery the delivery that the transaction writes
   * @param serve the answer to send after the commit
   */
  record Commit(Transaction transaction, Delivery delivery, Serve serve) implements DeliveryStep {}

  /** Waits, since no new group can be delivered yet. */
  record Wait() implements DeliveryStep {}

  /** All groups of the rollout were delivered at or before the trainer's cursor. */
  record Finished() implements DeliveryStep {}

  /**
   * Rejects the trainer's request.
   *
   * @param failure the reason
   */
  record Refused(Failure failure) implements DeliveryStep {}
}
