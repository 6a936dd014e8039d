package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.SampleEvent;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.OptionalLong;

/** Runs items on samplers. */
public interface SamplerClient {
  /**
   * An item and where it runs.
   *
   * @param organisation who submitted the batch
   * @param host the host that callers name
   * @param resumeAfter the id of the last event that is known
   * @param leftMillis how long the sampler may work on it
   */
  record ItemCall(
      BatchItem item,
      String organisation,
      String host,
      UpstreamEntry sampler,
      OptionalLong resumeAfter,
      long leftMillis) {
    /** Checks the fields. */
    public ItemCall {
      checkNotNull(item, "item");
      checkNotNull(organisation, "organisation");
      checkNotNull(host, "host");
      checkNotNull(sampler, "sampler");
      checkNotNull(resumeAfter, "resumeAfter");
    }
  }

  /** How a run ended. */
  enum Ending {
    /** The stream is whole. */
    COMPLETE,
    /** The run goes on at another sampler. */
    MOVED,
    /** The stream broke off, or the sampler could not be reached. */
    BROKEN,
    /** The sampler refused the item without running it. */
    NOT_RUN,
    /** The sampler failed to run the item. */
    FAILED,
    /** The item can never be done. */
    IMPOSSIBLE
  }

  /** Learns what a run brings. */
  interface Listener {
    /** Takes the version of the weights that the run begins with; false ends the run. */
    boolean onVersion(long version);

    /** Takes the next event; false ends the run. */
    boolean onEvent(SampleEvent event);

    /** Takes the end, once, unless the run was cancelled. */
    void onEnd(Ending ending, String cause);
  }

  /** A run that was started. */
  interface Run {
    /** Ends the run; the listener hears nothing more. */
    void cancel();
  }

  /** Starts an item on a sampler. */
  Run run(ItemCall call, Listener listener);
}
