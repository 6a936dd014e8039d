package io.briarward.standins.engine;

/** Why a completion ended. */
enum FinishReason {
  /** The model ended the text. */
  STOP("stop"),
  /** The token limit was reached. */
  LENGTH("length");

  private final String label;

  FinishReason(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
