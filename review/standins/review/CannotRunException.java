package review;

/** Thrown if a case cannot be run, so that it shows nothing about the rule. */
final class CannotRunException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  CannotRunException(String message) {
    super(message);
  }
}
