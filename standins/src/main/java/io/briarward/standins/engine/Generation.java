package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;

/** A completion while it is generated. Confined to the engine's event loop. */
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

  /** Returns the position of the next token in the whole text. */
  int nextToken() {
    return nextToken;
  }

  /** Returns how many tokens were generated here. */
  int generatedTokens() {
    return nextToken - request.resumedTokens();
  }

  /** Returns how many prompt tokens were found in the cache. */
  int cachedTokens() {
    return cachedTokens;
  }

  /** Returns the tokens held in memory when the completion is whole. */
  long kvTokens() {
    return CompletionText.promptTokens(request.prompt()) + (long) request.endToken();
  }

  /** Returns the weight versions of the tokens generated here, counted from the first of them. */
  ImmutableList<VersionSpan> spans() {
    return ImmutableList.copyOf(spans);
  }

  boolean finished() {
    return nextToken >= request.endToken();
  }

  boolean prefilled(long nowMicros) {
    return nowMicros >= prefilledMicros;
  }

  void admit(int cached, long prefilledAtMicros) {
    cachedTokens = cached;
    prefilledMicros = prefilledAtMicros;
  }

  /** Generates one token with the given weights and returns its text. */
  String generate(long weightVersion) {
    int position = generatedTokens();
    boolean goesOn = !spans.isEmpty() && Iterables.getLast(spans).version() == weightVersion;
    int start = goesOn ? spans.remove(spans.size() - 1).start() : position;
    spans.add(new VersionSpan(weightVersion, start, position + 1));
    String text = CompletionText.token(request.prompt(), request.seed(), nextToken);
    nextToken++;
    return text;
  }
}
