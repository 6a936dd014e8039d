package io.briarward.node.platform;

import static com.google.common.base.Preconditions.checkNotNull;

/** Signals that an interface of the platform did not answer as it should. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the operation's effect. */
  public enum Effect {
    /** The operation had no effect. */
    NONE,
    /** The operation may have taken effect. */
    UNKNOWN
  }

  private final Effect effect;

  /** Creates an exception. */
  public PlatformException(Effect effect, String message) {
    super(message);
    this.effect = checkNotNull(effect, "effect");
  }

  /** Returns what is known of the operation's effect. */
  public Effect effect() {
    return effect;
  }
}
