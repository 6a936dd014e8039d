package io.briarward.core.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.weights.WeightAnnouncement;
import java.io.IOException;
import java.util.stream.Collectors;

/**
 * Parses and prints rollouts and their results as JSON.
 *
 * <p>Unknown, duplicate and missing fields are rejected. Thread-safe.
 */
public final class RolloutCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new GuavaModule())
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private RolloutCodec() {}

  /**
   * Parses a trainer's rollout request.
   *
   * @throws FailureException of kind {@code MALFORMED_REQUEST} naming the offending field
   */
  public static RolloutSpec parseSpec(byte[] json) {
    return parse(json, RolloutSpec.class);
  }

  /**
   * Parses a weight announcement.
   *
   * @throws FailureException of kind {@code MALFORMED_REQUEST} naming the offending field
   */
  public static WeightAnnouncement parseAnnouncement(byte[] json) {
    return parse(json, WeightAnnouncement.class);
  }

  /** Prints a spec; equal specs yield equal bytes. */
  public static byte[] printSpec(RolloutSpec spec) {
    return print(spec);
  }

  /** Prints complete groups for the object store. */
  public static byte[] printGroups(ImmutableList<GroupResult> groups) {
    return print(groups);
  }

  /**
   * Parses groups printed by {@link #printGroups}.
   *
   * @throws FailureException of kind {@code INTERNAL} if the bytes cannot be parsed
   */
  public static ImmutableList<GroupResult> parseGroups(byte[] json) {
    try {
      return ImmutableList.copyOf(MAPPER.readValue(json, GroupResult[].class));
    } catch (IOException e) {
      throw Failure.ran(ErrorKind.INTERNAL, "stored groups cannot be read").toException();
    }
  }

  /** Prints the answer to a trainer's request for groups. */
  public static byte[] printAnswer(GroupsAnswer answer) {
    return print(answer);
  }

  static <T> JsonNode toTree(T value) {
    return MAPPER.valueToTree(value);
  }

  static <T> T fromTree(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("row cannot be read as " + type.getSimpleName(), e);
    }
  }

  private static <T> T parse(byte[] json, Class<T> type) {
    try {
      return checkPresent(MAPPER.readValue(json, type));
    } catch (JsonMappingException e) {
      throw malformed(path(e) + reason(e));
    } catch (IOException e) {
      throw malformed("$: the body is not JSON");
    }
  }

  private static <T> T checkPresent(T value) {
    if (value == null) {
      throw malformed("$: the body is null, expected an object");
    }
    return value;
  }

  private static byte[] print(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be printed as JSON", e);
    }
  }

  private static FailureException malformed(String detail) {
    return Failure.notRun(ErrorKind.MALFORMED_REQUEST, detail).toException();
  }

  private static String path(JsonMappingException e) {
    return e.getPath().stream()
        .map(step -> step.getFieldName() == null ? "" + step.getIndex() : step.getFieldName())
        .collect(Collectors.joining(".", "$.", ": "));
  }

  private static String reason(JsonMappingException e) {
    Throwable cause = e.getCause();
    boolean isValidationError =
        cause instanceof IllegalArgumentException || cause instanceof NullPointerException;
    return isValidationError ? cause.getMessage() : e.getOriginalMessage();
  }
}
