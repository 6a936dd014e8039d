package io.briarward.core.keys;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Whether a node may serve routes that need a key.
 *
 * @param permitted whether it may
 * @param reason why
 */
public record ServingPermission(boolean permitted, Reason reason) {
  /** Why a node may or may not serve. */
  public enum Reason {
    /** The store was seen to hold nothing newer within the bound. */
    FRESH,
    /** No node has seen the store lately, and a majority of the VMs knows nothing newer. */
    STORE_OUTAGE,
    /** The process has not learned the current version since it started. */
    NOT_SETTLED,
    /** The node knows that a newer version exists and has had no evidence within the bound. */
    BEHIND,
    /** The node is cut off from the store and from the majority of the VMs. */
    ISOLATED
  }

  /** Checks the fields. */
  public ServingPermission {
    checkNotNull(reason, "reason");
  }

  /** Returns a permission. */
  public static ServingPermission permitted(Reason reason) {
    return new ServingPermission(true, reason);
  }

  /** Returns a refusal. */
  public static ServingPermission refused(Reason reason) {
    return new ServingPermission(false, reason);
  }
}
