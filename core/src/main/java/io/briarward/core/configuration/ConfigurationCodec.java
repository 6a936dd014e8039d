package io.briarward.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Converts configurations to and from JSON.
 *
 * <p>Unknown fields and duplicate fields are rejected. Thread-safe.
 */
public final class ConfigurationCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new GuavaModule())
          .addModule(new Jdk8Module())
          .addModule(
              new SimpleModule()
                  .addDeserializer(ImmutableList.class, new ImmutableListDeserializer()))
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  private ConfigurationCodec() {}

  /**
   * Parses a configuration from JSON.
   *
   * @throws InvalidConfigurationException if the configuration is invalid, with the path of the
   *     offending field
   */
  public static Configuration parse(String json) {
    try {
      return MAPPER.readValue(json, Configuration.class);
    } catch (JsonMappingException e) {
      throw toInvalidConfigurationException(e);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigurationException("$", e.getOriginalMessage());
    }
  }

  /** Returns a configuration as indented JSON. */
  public static String print(Configuration configuration) {
    try {
      return MAPPER.writeValueAsString(configuration);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("configuration cannot be written as JSON", e);
    }
  }

  private static InvalidConfigurationException toInvalidConfigurationException(
      JsonMappingException e) {
    String parent = path(e.getPath());
    if (e.getCause() instanceof InvalidConfigurationException cause) {
      String reason = cause.getMessage().substring(cause.path().length() + 2);
      String separator = parent.isEmpty() ? "" : ".";
      return new InvalidConfigurationException(parent + separator + cause.path(), reason);
    }
    return new InvalidConfigurationException(
        parent.isEmpty() ? "$" : parent, e.getOriginalMessage());
  }

  private static String path(List<JsonMappingException.Reference> references) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference reference : references) {
      if (reference.getFieldName() == null) {
        path.append('[').append(reference.getIndex()).append(']');
      } else {
        path.append(path.length() == 0 ? "" : ".").append(reference.getFieldName());
      }
    }
    return path.toString();
  }
}
