package io.briarward.core.idempotency;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.core.platform.RowKey;
import java.util.Optional;

/**
 * The record of a request with an idempotency key, stored in the table service.
 *
 * @param fingerprint the hash of the request's method, path and body
 * @param token unique to the attempt that inserted the record
 * @param answer the first answer, empty while the request is running
 */
public record IdempotencyRecord(String fingerprint, String token, Optional<Answer> answer) {
  /** The table that holds the records. */
  public static final String TABLE = "idempotency";

  /** Validates the components. */
  public IdempotencyRecord {
    checkArgument(!fingerprint.isEmpty(), "fingerprint is empty");
    checkArgument(!token.isEmpty(), "token is empty");
    checkNotNull(answer, "answer");
  }

  /**
   * An answer stored to be returned to later requests with the same key.
   *
   * @param status the HTTP status code, from 100 to 599
   * @param contentType the media type of the body
   * @param body the body, empty if it was too large to store
   */
  public record Answer(int status, String contentType, Optional<String> body) {
    /** Validates the components. */
    public Answer {
      checkArgument(status >= 100 && status < 600, "status is %s, expected 100 to 599", status);
      checkNotNull(contentType, "contentType");
      checkNotNull(body, "body");
    }
  }

  /** Returns the key of the row for an organisation's idempotency key. */
  public static RowKey rowKey(String organisation, String idempotencyKey) {
    return RowKey.of(TABLE, organisation + "/" + idempotencyKey);
  }

  /** Returns the record of a request that is running. */
  public static IdempotencyRecord running(String fingerprint, String token) {
    return new IdempotencyRecord(fingerprint, token, Optional.empty());
  }

  /** Returns a copy of this record with the request's first answer. */
  public IdempotencyRecord withAnswer(Answer first) {
    return new IdempotencyRecord(fingerprint, token, Optional.of(first));
  }

  /** Returns the record as the value of a row. */
  public JsonNode toJson() {
    ObjectNode node =
        JsonNodeFactory.instance.objectNode().put("fingerprint", fingerprint).put("token", token);
    answer.ifPresent(
        stored -> {
          node.put("status", stored.status()).put("contentType", stored.contentType());
          stored.body().ifPresent(body -> node.put("body", body));
        });
    return node;
  }

  /** Parses a record from the value of a row. */
  public static IdempotencyRecord fromJson(JsonNode node) {
    Optional<Answer> answer =
        node.has("status")
            ? Optional.of(
                new Answer(
                    node.path("status").asInt(),
                    node.path("contentType").asText(),
                    Optional.ofNullable(node.get("body")).map(JsonNode::asText)))
            : Optional.empty();
    return new IdempotencyRecord(
        node.path("fingerprint").asText(), node.path("token").asText(), answer);
  }
}
