package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * One event of a sampler's stream.
 *
 * @param id grows by one with each event of a run
 * @param version the version of the weights from this event on, if it changed
 * @param data the generated text
 */
public record SampleEvent(long id, OptionalLong version, String data) {
  /** Checks the fields. */
  public SampleEvent {
    checkArgument(id >= 0, "id is %s, expected >= 0", id);
    checkNotNull(version, "version");
    checkNotNull(data, "data");
  }
}
