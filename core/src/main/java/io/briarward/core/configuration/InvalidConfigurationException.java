package io.briarward.core.configuration;

/** Thrown if a configuration is invalid; contains the path of the offending field. */
public final class InvalidConfigurationException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final String path;

  /** Creates an exception for the field at {@code path}. */
  public InvalidConfigurationException(String path, String reason) {
    super(path + ": " + reason);
    this.path = path;
  }

  /** Returns the path of the offending field, such as {@code keys[2].organisation}. */
  public String path() {
    return path;
  }
}
