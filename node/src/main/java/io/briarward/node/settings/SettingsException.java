package io.briarward.node.settings;

/** Thrown if a flag or environment variable is missing, unknown or invalid. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the flag, its value and the expected values. */
  public SettingsException(String message) {
    super(message);
  }
}
