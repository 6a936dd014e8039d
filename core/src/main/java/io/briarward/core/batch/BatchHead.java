package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The row that stores the progress of a batch and the process that runs it.
 *
 * <p>Each transaction that adds results also writes this row, on the condition that it is
 * unchanged. Only the current owner can therefore add results, and each position is assigned once.
 *
 * @param id the id of the batch
 * @param organisation the organisation that submitted it
 * @param submission the key of the object that stores the submitted request
 * @param terms the terms that the route granted
 * @param versions the weight versions that the batch accepts; empty if the batch names no model or
 *     no version of it was announced
 * @param total the number of items
 * @param listed the number of listed results, at positions 0 to {@code listed - 1}
 * @param ended whether the caller ended the batch
 * @param owner the incarnation of the process that runs it, empty if it was released
 * @param acceptedAtMillis when it was accepted, not before it arrived, in milliseconds on the
 *     store's clock
 * @param token unique to each write, so that a writer can recognize its own write
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

  /** Validates the components. */
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

  /** Returns whether the batch has work left for an owner. */
  public boolean isOpen() {
    return !ended && listed < total;
  }

  /** Returns a copy with {@code results} more listed results. */
  public BatchHead withListed(int results, String newToken) {
    return copy(listed + results, ended, owner, newToken);
  }

  /** Returns a copy that the caller has ended. */
  public BatchHead withEnded(String newToken) {
    return copy(listed, true, owner, newToken);
  }

  /** Returns a copy with a new owner, or none. */
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

  /** Returns whether the process of the given incarnation owns the batch. */
  public boolean isOwnedBy(String incarnation) {
    return owner.filter(incarnation::equals).isPresent();
  }

  /** Returns when all results are due, on the store's clock. */
  public long dueAtMillis() {
    return acceptedAtMillis + terms.dueMillis();
  }

  /** Returns when unfinished items may be abandoned, in milliseconds on the store's clock. */
  public long abandonAtMillis() {
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
        batchVersions ->
            json.put("model", batchVersions.model())
                .put("minVersion", batchVersions.minVersion())
                .put("announcedVersion", batchVersions.announcedVersion()));
    owner.ifPresent(incarnation -> json.put("owner", incarnation));
    return json;
  }

  /**
   * Parses the JSON form.
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
