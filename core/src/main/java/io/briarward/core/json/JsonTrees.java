package io.briarward.core.json;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/**
 * Reads and writes trees of JSON texts.
 *
 * <p>Gives the trees and texts of an {@code ObjectMapper} with default settings, without its
 * initialisation, which takes a tenth of the processor time of a node's start: it loads some
 * hundred classes for the mapping of objects, dates and locales. Thread-safe.
 */
public final class JsonTrees {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
  private static final JsonTrees LENIENT =
      new JsonTrees(StreamReadConstraints.defaults(), /* allowsTrailing= */ true);

  private static final Meter NO_METER = bytes -> {};

  /** An object or an array with its map or list. */
  private static final long CONTAINER_BYTES = 160;

  /** The entry of a field in the map of its object, and the text of its name. */
  private static final long FIELD_BYTES = 112;

  /** A value with its text, and its place in an array. */
  private static final long SCALAR_BYTES = 72;

  private final JsonFactory factory;
  private final boolean allowsTrailing;

  private JsonTrees(StreamReadConstraints constraints, boolean allowsTrailing) {
    this.factory = JsonFactory.builder().streamReadConstraints(constraints).build();
    this.allowsTrailing = allowsTrailing;
  }

  /** Returns a reader that ignores what follows the first value of a text. */
  public static JsonTrees lenient() {
    return LENIENT;
  }

  /** Returns a reader that rejects texts of several values, and those that exceed the bounds. */
  public static JsonTrees strict(StreamReadConstraints constraints) {
    return new JsonTrees(checkNotNull(constraints, "constraints"), /* allowsTrailing= */ false);
  }

  /**
   * Returns a parser of a text in UTF-8, UTF-16 or UTF-32, which need not be in memory as a whole.
   *
   * <p>The caller reads the parts that it wants with {@link #readNext}.
   */
  public JsonParser parser(InputStream text) throws IOException {
    return factory.createParser(text);
  }

  /** Is told how much memory the parts of a tree take, while they are read. */
  @FunctionalInterface
  public interface Meter {
    /** Called before each part is kept; an exception that it throws ends the reading. */
    void onPart(long bytes);
  }

  /**
   * Reads the value that begins at the current token of a parser.
   *
   * @param meter is told the memory of the tree part by part, so that it can be bounded
   */
  public static JsonNode readNext(JsonParser parser, Meter meter) throws IOException {
    return readValue(parser, meter);
  }

  /**
   * Parses a text; an empty one is a missing node.
   *
   * @throws JsonProcessingException if it is not JSON
   */
  public JsonNode read(String text) throws JsonProcessingException {
    return read(() -> factory.createParser(text));
  }

  /**
   * Parses a text in UTF-8, UTF-16 or UTF-32; an empty one is a missing node.
   *
   * @throws JsonProcessingException if it is not JSON
   */
  public JsonNode read(byte[] text) throws JsonProcessingException {
    return read(() -> factory.createParser(text));
  }

  private interface ParserSupplier {
    JsonParser get() throws IOException;
  }

  private JsonNode read(ParserSupplier supplier) throws JsonProcessingException {
    try (JsonParser parser = supplier.get()) {
      JsonNode value =
          parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser, NO_METER);
      if (!allowsTrailing && parser.nextToken() != null) {
        throw new JsonParseException(parser, "the text has several values");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      throw new JsonParseException(null, "the text is in no known encoding", e);
    }
  }

  /** Reads the value that begins at the current token; does not recurse, however deep it is. */
  private static JsonNode readValue(JsonParser parser, Meter meter) throws IOException {
    if (!parser.currentToken().isStructStart()) {
      return readScalar(parser, meter);
    }
    meter.onPart(CONTAINER_BYTES);
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    open.push(container(parser.currentToken()));
    while (true) {
      JsonToken token = parser.nextToken();
      if (token == null) {
        throw new JsonParseException(parser, "the text ends within a value");
      }
      if (token == JsonToken.FIELD_NAME) {
        meter.onPart(FIELD_BYTES + parser.getTextLength());
        continue;
      }
      if (token.isStructEnd()) {
        ContainerNode<?> ended = open.pop();
        if (open.isEmpty()) {
          return ended;
        }
      } else if (token.isStructStart()) {
        meter.onPart(CONTAINER_BYTES);
        ContainerNode<?> child = container(token);
        attach(open.getFirst(), parser, child);
        open.push(child);
      } else {
        attach(open.getFirst(), parser, readScalar(parser, meter));
      }
    }
  }

  private static ContainerNode<?> container(JsonToken start) {
    return start == JsonToken.START_OBJECT ? NODES.objectNode() : NODES.arrayNode();
  }

  private static void attach(ContainerNode<?> parent, JsonParser parser, JsonNode child)
      throws IOException {
    if (parent instanceof ObjectNode object) {
      object.replace(parser.currentName(), child);
    } else {
      ((ArrayNode) parent).add(child);
    }
  }

  private static JsonNode readScalar(JsonParser parser, Meter meter) throws IOException {
    meter.onPart(SCALAR_BYTES + parser.getTextLength());
    return switch (parser.currentToken()) {
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new JsonParseException(parser, "unexpected token " + parser.currentToken());
    };
  }

  private static JsonNode readInteger(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Returns the text of a tree. */
  public static String write(JsonNode tree) {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = LENIENT.factory.createGenerator(text)) {
      write(tree, generator);
    } catch (IOException e) {
      throw new UncheckedIOException(e); // The text is in memory.
    }
    return text.toString();
  }

  private static void write(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> {
        generator.writeStartObject();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
          generator.writeFieldName(field.getKey());
          write(field.getValue(), generator);
        }
        generator.writeEndObject();
      }
      case ARRAY -> {
        generator.writeStartArray();
        for (JsonNode element : node) {
          write(element, generator);
        }
        generator.writeEndArray();
      }
      case STRING -> generator.writeString(node.textValue());
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      case NULL -> generator.writeNull();
      case NUMBER -> writeNumber(node, generator);
      default -> generator.writeRawValue(node.toString());
    }
  }

  private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.numberType()) {
      case INT -> generator.writeNumber(node.intValue());
      case LONG -> generator.writeNumber(node.longValue());
      case DOUBLE -> generator.writeNumber(node.doubleValue());
      default -> generator.writeRawValue(node.toString());
    }
  }
}
