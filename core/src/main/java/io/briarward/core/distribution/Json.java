package io.briarward.core.distribution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;

/** Converts between JSON text, JSON trees and records. */
final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new GuavaModule()).build();

  private Json() {}

  /**
   * Parses JSON text.
   *
   * @throws IllegalArgumentException if the text is not valid JSON
   */
  static JsonNode read(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("text is not valid JSON: " + e.getOriginalMessage(), e);
    }
  }

  static JsonNode toTree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Converts a tree to a record.
   *
   * @throws IllegalArgumentException if the tree does not match the record
   */
  static <T> T fromTree(JsonNode tree, Class<T> type) {
    return MAPPER.convertValue(tree, type);
  }
}
