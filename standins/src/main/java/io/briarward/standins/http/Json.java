package io.briarward.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Static utility methods for JSON trees. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns an empty array. */
  public static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  /** Converts records, maps and lists to a tree. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Parses JSON.
   *
   * @throws IllegalArgumentException if the text is not JSON
   */
  public static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("text is not JSON: " + e.getOriginalMessage(), e);
    }
  }
}
