package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The value of a lease row.
 *
 * @param holder the incarnation of the process that wrote the row
 * @param token unique to one transaction, so that its writer can recognize its own write
 * @param fencingNumber increases with each acquisition, > 0
 * @param durationMillis the duration of the lease, > 0
 * @param released whether the holder has released the lease
 */
record LeaseRow(
    String holder, String token, long fencingNumber, long durationMillis, boolean released) {
  LeaseRow {
    checkArgument(!holder.isEmpty(), "holder is empty");
    checkArgument(!token.isEmpty(), "token is empty");
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
    checkArgument(durationMillis > 0, "durationMillis is %s, expected > 0", durationMillis);
  }

  static LeaseRow parse(JsonNode value) {
    return new LeaseRow(
        value.path("holder").asText(),
        value.path("token").asText(),
        value.path("fencingNumber").asLong(),
        value.path("durationMillis").asLong(),
        value.path("released").asBoolean());
  }

  JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("holder", holder)
        .put("token", token)
        .put("fencingNumber", fencingNumber)
        .put("durationMillis", durationMillis)
        .put("released", released);
  }
}
