package io.briarward.node.settings;

/** Signals a flag or environment variable that cannot be accepted. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the flag, its value and what is accepted. */
  public SettingsException(String message) {
    super(message);
  }
}
