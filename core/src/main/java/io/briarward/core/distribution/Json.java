package io.briarward.core.distribution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;

/** Translates between records and JSON trees. */
final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new GuavaModule()).build();

  private Json() {}

  static JsonNode read(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
    }
  }

  static JsonNode toTree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Reads a record from a tree.
   *
   * @throws IllegalArgumentException when the tree does not fit
   */
  static <T> T fromTree(JsonNode tree, Class<T> type) {
    return MAPPER.convertValue(tree, type);
  }
}
