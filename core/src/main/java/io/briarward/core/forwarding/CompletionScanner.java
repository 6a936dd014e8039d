package io.briarward.core.forwarding;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads token counts and the end marker out of a completion as its bytes pass by.
 *
 * <p>Takes event streams and whole JSON documents. Not thread-safe.
 */
public final class CompletionScanner {
  private static final int MAX_BUFFERED_BYTES = 4 << 20;
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final boolean eventStream;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private long promptTokens;
  private long completionTokens;
  private boolean usageSeen;
  private boolean doneSeen;

  private CompletionScanner(boolean eventStream) {
    this.eventStream = eventStream;
  }

  /** Returns a scanner for an answer of the given media type. */
  public static CompletionScanner of(String contentType) {
    return new CompletionScanner(contentType.startsWith("text/event-stream"));
  }

  /** Takes the next bytes of the answer. */
  public void add(byte[] bytes) {
    int start = 0;
    for (int i = 0; eventStream && i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        append(bytes, start, i);
        takeLine(drain());
        start = i + 1;
      }
    }
    append(bytes, start, bytes.length);
  }

  /** Takes the end of the answer's bytes. */
  public void end() {
    if (!eventStream) {
      takeDocument(drain());
      doneSeen = true;
    }
  }

  /** Returns whether the answer is whole: an event stream ends with its marker. */
  public boolean complete() {
    return doneSeen;
  }

  /** Returns the tokens of the prompt, 0 until they are known. */
  public long promptTokens() {
    return promptTokens;
  }

  /** Returns the tokens generated so far. */
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

  private void takeLine(String line) {
    if (!line.startsWith(DATA)) {
      return;
    }
    String data = line.substring(DATA.length()).trim();
    if (data.equals(DONE)) {
      doneSeen = true;
    } else {
      takeDocument(data);
    }
  }

  private void takeDocument(String json) {
    JsonNode document;
    try {
      document = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return; // Not a completion; its bytes pass on as they are.
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
