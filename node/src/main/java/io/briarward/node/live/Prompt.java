package io.briarward.node.live;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The properties of a prompt that routing uses.
 *
 * @param prefixHash the hash of the prompt's prefix, as engines compute it
 * @param tokens the approximate length of the prompt, in tokens
 */
public record Prompt(long prefixHash, int tokens) {
  private static final int PREFIX_CHARS = 256;
  private static final int CHARS_PER_TOKEN = 4;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads the prompt of a completion request; empty if the body holds no prompt. */
  static Optional<Prompt> read(Buffer body) {
    try {
      JsonNode prompt = MAPPER.readTree(body.getBytes()).path("prompt");
      return prompt.isTextual() ? Optional.of(of(prompt.asText())) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the routing properties of a prompt's text. */
  public static Prompt of(String text) {
    String prefix = Ascii.truncate(text, PREFIX_CHARS, "");
    long hash = Hashing.farmHashFingerprint64().hashString(prefix, StandardCharsets.UTF_8).asLong();
    return new Prompt(hash, text.length() / CHARS_PER_TOKEN + 1);
  }
}
