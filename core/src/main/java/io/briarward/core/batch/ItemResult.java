package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

/**
 * What became of an item.
 *
 * @param itemId the item
 * @param succeeded whether the output is whole; otherwise the item is lost
 * @param output the data of all events, separated by line feeds; empty for a lost item
 * @param versions the versions of the weights that generated the output, ascending
 */
public record ItemResult(
    String itemId, boolean succeeded, String output, ImmutableList<Long> versions) {
  /** Checks the fields. */
  public ItemResult {
    checkArgument(!itemId.isEmpty(), "itemId is empty");
    checkNotNull(output, "output");
    checkNotNull(versions, "versions");
    checkArgument(succeeded || output.isEmpty(), "a lost item has no output");
  }

  /** Returns the result of an item that is given up. */
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

  /** Reads the JSON form. */
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
