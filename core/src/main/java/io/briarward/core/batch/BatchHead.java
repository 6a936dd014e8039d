package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The row that says what became of a batch and which process runs it.
 *
 * <p>Every write of results also writes this row, on condition that it is unchanged. So only the
 * present owner can add results, and each position is given once.
 *
 * @param id the batch
 * @param organisation who submitted it
 * @param submission the object that holds what the caller submitted
 * @param terms what the route granted
 * @param versions which weights the batch takes; empty if it names no model, or none is announced
 * @param total the number of items
 * @param listed the number of results, whose positions are 0 to {@code listed - 1}
 * @param ended whether the caller ended the batch
 * @param owner the incarnation of the process that runs it, empty when it was given up
 * @param acceptedAtMillis when it was accepted, on the store's clock
 * @param token unique to one write, by which its writer recognises it
 */
public record BatchHead(
    String id,
    String organisation,
    String submission,
    BatchTerms terms,
    Optional<BatchVersions> versions,
    int total,
    int listed,
    boolean ended,
    Optional<String> owner,
    long acceptedAtMillis,
    String token) {

  /** Checks the fields. */
  public BatchHead {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(organisation, "organisation");
    checkArgument(!submission.isEmpty(), "submission is empty");
    checkNotNull(terms, "terms");
    checkNotNull(versions, "versions");
    checkArgument(total > 0, "total is %s, expected > 0", total);
    checkArgument(listed >= 0 && listed <= total, "listed is %s, expected 0 to %s", listed, total);
    checkNotNull(owner, "owner");
    checkNotNull(token, "token");
  }

  /** Returns whether there is work left for an owner. */
  public boolean open() {
    return !ended && listed < total;
  }

  /** Returns the row after {@code results} more results were listed. */
  public BatchHead withListed(int results, String newToken) {
    return copy(listed + results, ended, owner, newToken);
  }

  /** Returns the row after the caller ended the batch. */
  public BatchHead withEnded(String newToken) {
    return copy(listed, true, owner, newToken);
  }

  /** Returns the row after its owner changed. */
  public BatchHead withOwner(Optional<String> newOwner, String newToken) {
    return copy(listed, ended, newOwner, newToken);
  }

  private BatchHead copy(
      int newListed, boolean newEnded, Optional<String> newOwner, String newToken) {
    return new BatchHead(
        id,
        organisation,
        submission,
        terms,
        versions,
        total,
        newListed,
        newEnded,
        newOwner,
        acceptedAtMillis,
        newToken);
  }

  /** Returns when an item may be given up, on the store's clock. */
  public long giveUpAtMillis() {
    return acceptedAtMillis + terms.maxWaitMillis();
  }

  /** Returns the JSON form. */
  public JsonNode toJson() {
    ObjectNode json =
        JsonNodeFactory.instance
            .objectNode()
            .put("id", id)
            .put("organisation", organisation)
            .put("submission", submission)
            .put("total", total)
            .put("listed", listed)
            .put("ended", ended)
            .put("acceptedAtMillis", acceptedAtMillis)
            .put("token", token)
            .put("host", terms.host())
            .put("route", terms.route())
            .put("service", terms.service())
            .put("maxAttempts", terms.maxAttempts())
            .put("dueMillis", terms.dueMillis())
            .put("maxWaitMillis", terms.maxWaitMillis())
            .put("singleVersion", terms.singleVersion());
    versions.ifPresent(
        each ->
            json.put("model", each.model())
                .put("minVersion", each.minVersion())
                .put("announcedVersion", each.announcedVersion()));
    owner.ifPresent(incarnation -> json.put("owner", incarnation));
    return json;
  }

  /**
   * Reads the JSON form.
   *
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  public static BatchHead parse(JsonNode json) {
    BatchTerms terms =
        new BatchTerms(
            json.path("host").asText(),
            json.path("route").asText(),
            json.path("service").asText(),
            json.path("maxAttempts").asInt(),
            json.path("dueMillis").asLong(),
            json.path("maxWaitMillis").asLong(),
            json.path("singleVersion").asBoolean());
    return new BatchHead(
        json.path("id").asText(),
        json.path("organisation").asText(),
        json.path("submission").asText(),
        terms,
        json.hasNonNull("model")
            ? Optional.of(
                new BatchVersions(
                    json.path("model").asText(),
                    json.path("minVersion").asLong(),
                    json.path("announcedVersion").asLong()))
            : Optional.empty(),
        json.path("total").asInt(),
        json.path("listed").asInt(),
        json.path("ended").asBoolean(),
        json.hasNonNull("owner") ? Optional.of(json.path("owner").asText()) : Optional.empty(),
        json.path("acceptedAtMillis").asLong(),
        json.path("token").asText());
  }
}
