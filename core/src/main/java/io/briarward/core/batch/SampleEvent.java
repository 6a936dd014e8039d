package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * An event of a sampler's stream.
 *
 * @param id the event's id, which increases by one with each event of a run
 * @param version the weight version from this event on, present if it changed
 * @param data the generated text
 */
public record SampleEvent(long id, OptionalLong version, String data) {
  /** Validates the components. */
  public SampleEvent {
    checkArgument(id >= 0, "id is %s, expected >= 0", id);
    checkNotNull(version, "version");
    checkNotNull(data, "data");
  }
}
