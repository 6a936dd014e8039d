package io.briarward.node.platform;

import static com.google.common.base.Preconditions.checkNotNull;

/** Thrown if a request to the platform fails or its response is unexpected. */
public final class PlatformException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Whether the failed operation may have taken effect. */
  public enum Effect {
    /** The operation had no effect. */
    NONE,
    /** The operation may have taken effect. */
    UNKNOWN
  }

  private final Effect effect;

  /** Creates an exception with the known effect of the failed operation. */
  public PlatformException(Effect effect, String message) {
    super(message);
    this.effect = checkNotNull(effect, "effect");
  }

  /** Returns whether the failed operation may have taken effect. */
  public Effect effect() {
    return effect;
  }

  /** Returns whether an error of a call to the platform says that the call had no effect. */
  public static boolean hadNoEffect(Throwable error) {
    return error instanceof PlatformException platform && platform.effect == Effect.NONE;
  }
}
