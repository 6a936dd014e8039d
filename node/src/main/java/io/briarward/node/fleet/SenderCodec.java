package io.briarward.node.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.core.fleet.SenderView;
import io.briarward.core.platform.Row;

/** Writes into a heartbeat row whether its VM is an established sender, and reads it. */
final class SenderCodec {
  private static final String ESTABLISHED = "established";

  private SenderCodec() {}

  /** Adds to the row of this process that its VM is established; adds nothing if it is not. */
  static void write(SenderView senders, ObjectNode row) {
    if (senders.isEstablished()) {
      row.put(ESTABLISHED, true);
    }
  }

  /** Passes a row to the view of the process with the given incarnation. */
  static void read(Row row, SenderView senders, String incarnation, long nowMillis) {
    senders.onRow(
        row.key(),
        row.value().path("incarnation").asText().equals(incarnation),
        row.value().path(ESTABLISHED).asBoolean(),
        nowMillis);
  }
}
