package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.SampleEvent;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Runs items on samplers. */
public interface SamplerClient {
  /**
   * An item to run and the sampler that runs it.
   *
   * @param organisation the organisation that submitted the batch
   * @param host the host name that callers address
   * @param resumeAfter the id of the last event received in an earlier attempt
   * @param leftMillis the time left to complete the item, in milliseconds
   * @param urgency the urgency class, from 0, the most urgent, to 9; empty if none is sent
   */
  record ItemCall(
      BatchItem item,
      String organisation,
      String host,
      UpstreamEntry sampler,
      OptionalLong resumeAfter,
      long leftMillis,
      OptionalInt urgency) {
    /** Validates the components. */
    public ItemCall {
      checkNotNull(item, "item");
      checkNotNull(organisation, "organisation");
      checkNotNull(host, "host");
      checkNotNull(sampler, "sampler");
      checkNotNull(resumeAfter, "resumeAfter");
      checkNotNull(urgency, "urgency");
      urgency.ifPresent(
          value ->
              checkArgument(value >= 0 && value <= 9, "urgency is %s, expected 0 to 9", value));
    }
  }

  /** How a run ended. */
  enum RunOutcome {
    /** The stream was received completely. */
    COMPLETE,
    /** The item resumes on another sampler. */
    MOVED,
    /** The connection failed, or the stream was truncated or invalid. */
    BROKEN,
    /** The sampler did not accept a connection, or sent nothing for long. */
    UNREACHABLE,
    /** The sampler rejected the item without running it. */
    NOT_RUN,
    /** The sampler failed to run the item. */
    FAILED,
    /** No sampler can ever run the item. */
    IMPOSSIBLE
  }

  /** Receives the events of a run. */
  interface Listener {
    /** Handles what the response says about the sampler; the run goes on. */
    void onNotice(UpstreamNotice notice);

    /**
     * Handles the weight version with which the run begins.
     *
     * @return whether to continue the run
     */
    boolean onVersion(long version);

    /**
     * Handles the next event.
     *
     * @return whether to continue the run
     */
    boolean onEvent(SampleEvent event);

    /** Handles the end of the run. Called once, unless the run was cancelled. */
    void onEnd(RunOutcome outcome, String cause);
  }

  /** A run in flight. */
  interface Run {
    /** Cancels the run; the listener is not called afterwards. */
    void cancel();
  }

  /** Starts an item on a sampler. */
  Run run(ItemCall call, Listener listener);
}
