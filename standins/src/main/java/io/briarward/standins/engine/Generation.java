package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;

/** The progress of a completion. Confined to the engine's event loop. */
final class Generation {
  private final CompletionRequest request;
  private final List<VersionSpan> spans = new ArrayList<>();
  private int nextToken;
  private int cachedTokens;
  private long prefilledMicros;

  Generation(CompletionRequest request) {
    this.request = request;
    this.nextToken = request.resumedTokens();
  }

  CompletionRequest request() {
    return request;
  }

  /** Returns the position of the next token in the completion, counting the resumed tokens. */
  int nextToken() {
    return nextToken;
  }

  /** Returns the number of tokens that this engine generated. */
  int generatedTokens() {
    return nextToken - request.resumedTokens();
  }

  /** Returns the number of prompt tokens that were found in the prefix cache or imported. */
  int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the number of KV cache tokens that the completion occupies once it is finished. */
  long kvTokens() {
    return CompletionText.promptTokens(request.prompt()) + (long) request.endToken();
  }

  /**
   * Returns the weight versions of the tokens that this engine generated.
   *
   * <p>Position 0 is the first of these tokens, not the first resumed token.
   */
  ImmutableList<VersionSpan> spans() {
    return ImmutableList.copyOf(spans);
  }

  boolean isFinished() {
    return nextToken >= request.endToken();
  }

  boolean isPrefilled(long nowMicros) {
    return nowMicros >= prefilledMicros;
  }

  /**
   * Starts the prefill.
   *
   * @param cached the number of prompt tokens that need no prefill
   * @param endMicros when the prefill finishes
   */
  void startPrefill(int cached, long endMicros) {
    cachedTokens = cached;
    prefilledMicros = endMicros;
  }

  /** Generates one token with the given weight version and returns its text. */
  String generate(long weightVersion) {
    int position = generatedTokens();
    boolean extendsLastSpan =
        !spans.isEmpty() && Iterables.getLast(spans).version() == weightVersion;
    int start = extendsLastSpan ? spans.remove(spans.size() - 1).start() : position;
    spans.add(new VersionSpan(weightVersion, start, position + 1));
    String text = CompletionText.token(request.prompt(), request.seed(), nextToken);
    nextToken++;
    return text;
  }
}
