package io.briarward.core.forwarding;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Extracts token counts and the end marker from a completion while its bytes are forwarded.
 *
 * <p>Supports event streams and single JSON documents. Not thread-safe.
 */
public final class CompletionScanner {
  private static final int MAX_BUFFERED_BYTES = 4 << 20;
  private static final String DATA_FIELD = "data:";
  private static final String END_MARKER = "[DONE]";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final boolean eventStream;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private long promptTokens;
  private long completionTokens;
  private boolean usageSeen;
  private boolean endSeen;

  private CompletionScanner(boolean eventStream) {
    this.eventStream = eventStream;
  }

  /** Returns a scanner for a response with the given {@code Content-Type}. */
  public static CompletionScanner of(String contentType) {
    return new CompletionScanner(contentType.startsWith("text/event-stream"));
  }

  /** Scans the next bytes of the response. */
  public void add(byte[] bytes) {
    int start = 0;
    for (int i = 0; eventStream && i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        append(bytes, start, i);
        scanLine(drain());
        start = i + 1;
      }
    }
    append(bytes, start, bytes.length);
  }

  /** Handles the end of the response body. */
  public void end() {
    if (!eventStream) {
      scanDocument(drain());
      endSeen = true;
    }
  }

  /**
   * Returns whether the response is complete: an event stream once its end marker arrived, a JSON
   * document once {@link #end} was called.
   */
  public boolean complete() {
    return endSeen;
  }

  /** Returns the number of prompt tokens, 0 until it is known. */
  public long promptTokens() {
    return promptTokens;
  }

  /** Returns the number of tokens generated so far. */
  public long completionTokens() {
    return completionTokens;
  }

  private void append(byte[] bytes, int start, int end) {
    int length = Math.min(end - start, MAX_BUFFERED_BYTES - pending.size());
    pending.write(bytes, start, Math.max(0, length));
  }

  private String drain() {
    String text = pending.toString(StandardCharsets.UTF_8);
    pending.reset();
    return text;
  }

  private void scanLine(String line) {
    if (!line.startsWith(DATA_FIELD)) {
      return;
    }
    String data = line.substring(DATA_FIELD.length()).trim();
    if (data.equals(END_MARKER)) {
      endSeen = true;
    } else {
      scanDocument(data);
    }
  }

  private void scanDocument(String json) {
    JsonNode document;
    try {
      document = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return; // Not a completion; its bytes are forwarded unchanged.
    }
    JsonNode usage = document.path("usage");
    if (usage.isObject()) {
      usageSeen = true;
      promptTokens = usage.path("prompt_tokens").asLong();
      completionTokens = usage.path("completion_tokens").asLong();
    } else if (!usageSeen) {
      completionTokens += document.path("tokens").asLong();
    }
  }
}
