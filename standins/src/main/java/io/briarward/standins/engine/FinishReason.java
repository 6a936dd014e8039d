package io.briarward.standins.engine;

/** Why a completion ended. */
enum FinishReason {
  /** The model stopped by itself. */
  STOP("stop"),
  /** The limit on tokens was reached. */
  LENGTH("length");

  private final String label;

  FinishReason(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}
