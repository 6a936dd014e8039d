package io.briarward.core.keys;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Whether a node may serve routes that require a key.
 *
 * @param permitted whether the node may serve these routes
 * @param reason why it may or may not
 */
public record ServingPermission(boolean permitted, Reason reason) {
  /** Why a node may or may not serve. */
  public enum Reason {
    /** There is evidence within the evidence bound that the store held no later version. */
    FRESH,
    /**
     * There is no recent evidence from the store, but a majority of the VMs answered recently and
     * the node has seen no later version.
     */
    STORE_OUTAGE,
    /** The process has not learned the current version since its start. */
    NOT_SETTLED,
    /** The node knows that a later version exists and has no evidence within the evidence bound. */
    BEHIND,
    /** The node can reach neither the store nor a majority of the VMs. */
    ISOLATED
  }

  /** Validates the components. */
  public ServingPermission {
    checkNotNull(reason, "reason");
  }

  /** Returns a permission that is granted for {@code reason}. */
  public static ServingPermission permitted(Reason reason) {
    return new ServingPermission(true, reason);
  }

  /** Returns a permission that is denied for {@code reason}. */
  public static ServingPermission refused(Reason reason) {
    return new ServingPermission(false, reason);
  }
}
