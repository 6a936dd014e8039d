package io.briarward.core.json;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against trees or texts that differ from those of Jackson's mapper. */
final class JsonTreesTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final JsonTrees STRICT =
      JsonTrees.strict(StreamReadConstraints.builder().maxNestingDepth(8).build());
  private static final ImmutableList<String> TEXTS =
      ImmutableList.of(
          "",
          " ",
          "null",
          "true",
          "\"a\\u00e9\\n\\\"\\ud83d\\ude00\"",
          "-0",
          "2147483648",
          "-9223372036854775809",
          "1.5",
          "1e400",
          "0.1000000000000000055511151231257827",
          "[]",
          "{}",
          "[1,[2,[3]],{\"a\":[{}]}]",
          "{\"a\":1,\"b\":{\"a\":null},\"a\":[2.0,false]}",
          "{\"\":\"\",\"a\\nb\":\"/<>&'\\u2028\"}",
          "1 2",
          "{\"a\":1}x");
  private static final String ALPHABET = "{}[]:,\"\"ab01-.e \\untrfals";

  @Test
  void treesAndTextsAreThoseOfTheMapper() throws Exception {
    for (String text : TEXTS) {
      assertSame(text);
    }
  }

  @Test
  void randomTextsAreReadOrRejectedLikeByTheMapper() throws Exception {
    Random random = new Random(7);
    for (int i = 0; i < 20_000; i++) {
      StringBuilder text = new StringBuilder(TEXTS.get(random.nextInt(TEXTS.size())));
      for (int edits = random.nextInt(4); edits >= 0; edits--) {
        int at = random.nextInt(text.length() + 1);
        if (at < text.length() && random.nextBoolean()) {
          text.deleteCharAt(at);
        } else {
          text.insert(at, ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
      }
      assertSame(text.toString());
    }
  }

  private static void assertSame(String text) throws Exception {
    Optional<JsonNode> expected = mapped(text);
    if (expected.isEmpty()) {
      assertThrows(JsonProcessingException.class, () -> JsonTrees.lenient().read(text), text);
      return;
    }
    JsonNode tree = JsonTrees.lenient().read(text);
    assertWithMessage(text).that(tree).isEqualTo(expected.get());
    if (!tree.isMissingNode()) {
      assertThat(JsonTrees.write(tree)).isEqualTo(expected.get().toString());
    }
  }

  private static Optional<JsonNode> mapped(String text) {
    try {
      return Optional.of(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  @Test
  void strictReaderRejectsSecondValueAndDeepNesting() throws Exception {
    assertThat(STRICT.read("[[[[[[[[]]]]]]]]").size()).isEqualTo(1);
    assertThrows(JsonProcessingException.class, () -> STRICT.read("[[[[[[[[[]]]]]]]]]"));
    assertThrows(JsonProcessingException.class, () -> STRICT.read("1 2"));
    assertThrows(JsonProcessingException.class, () -> STRICT.read("{} x"));
  }

  /** A reader that recursed would end with an error of the stack. */
  @Test
  void deepTextIsRejectedOrReadWithoutRecursion() {
    String deep = "[".repeat(100_000);
    assertThrows(JsonProcessingException.class, () -> JsonTrees.lenient().read(deep));
  }

  /** The bytes look like UTF-32; the parser fails with an error that is not one of JSON. */
  @Test
  void textInUnknownEncodingIsRejected() {
    byte[] bytes = {0, 0, 0, '[', 0x7f, 0, 0, 0};
    assertThrows(JsonProcessingException.class, () -> JsonTrees.lenient().read(bytes));
  }
}
