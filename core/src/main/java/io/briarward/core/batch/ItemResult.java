package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

/**
 * The result of an item.
 *
 * @param itemId the id of the item
 * @param succeeded whether the output is complete; otherwise the item failed
 * @param output the data of all events, separated by line feeds; empty for a failed item
 * @param versions the weight versions that generated the output, ascending
 */
public record ItemResult(
    String itemId, boolean succeeded, String output, ImmutableList<Long> versions) {
  /** Validates the components. */
  public ItemResult {
    checkArgument(!itemId.isEmpty(), "itemId is empty");
    checkNotNull(output, "output");
    checkNotNull(versions, "versions");
    checkArgument(succeeded || output.isEmpty(), "output of a failed item is not empty");
  }

  /** Returns the result of a failed item. */
  public static ItemResult lost(String itemId) {
    return new ItemResult(itemId, false, "", ImmutableList.of());
  }

  /** Returns the JSON form. */
  public JsonNode toJson() {
    ObjectNode json =
        JsonNodeFactory.instance
            .objectNode()
            .put("itemId", itemId)
            .put("succeeded", succeeded)
            .put("output", output);
    ArrayNode list = json.putArray("versions");
    versions.forEach(version -> list.add((long) version));
    return json;
  }

  /** Parses the JSON form. */
  public static ItemResult parse(JsonNode json) {
    ImmutableList.Builder<Long> versions = ImmutableList.builder();
    json.path("versions").forEach(version -> versions.add(version.asLong()));
    return new ItemResult(
        json.path("itemId").asText(),
        json.path("succeeded").asBoolean(),
        json.path("output").asText(),
        versions.build());
  }
}
