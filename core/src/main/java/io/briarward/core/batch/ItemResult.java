package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The result of an item.
 *
 * @param itemId the id of the item
 * @param succeeded whether the output is complete; otherwise the item failed
 * @param output the data of all events, separated by line feeds; empty for a failed item
 * @param versions the weight versions that generated the output, ascending
 * @param score the score of the output; empty for a failed item and one that needs no score
 */
public record ItemResult(
    String itemId,
    boolean succeeded,
    String output,
    ImmutableList<Long> versions,
    Optional<String> score) {
  /** Validates the components. */
  public ItemResult {
    checkArgument(!itemId.isEmpty(), "itemId is empty");
    checkNotNull(output, "output");
    checkNotNull(versions, "versions");
    checkNotNull(score, "score");
    checkArgument(succeeded || output.isEmpty(), "output of a failed item is not empty");
    checkArgument(succeeded || score.isEmpty(), "a failed item has a score");
  }

  /** Creates a result without a score. */
  public ItemResult(String itemId, boolean succeeded, String output, ImmutableList<Long> versions) {
    this(itemId, succeeded, output, versions, Optional.empty());
  }

  /** Returns this result with the score of its output. */
  ItemResult withScore(String newScore) {
    return new ItemResult(itemId, succeeded, output, versions, Optional.of(newScore));
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
    score.ifPresent(text -> json.put("score", text));
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
        versions.build(),
        json.hasNonNull("score") ? Optional.of(json.path("score").asText()) : Optional.empty());
  }
}
