package io.briarward.core.keys;

import io.briarward.core.distribution.ControlNode;
import java.util.OptionalLong;

/**
 * Decides whether a node may rely on the keys it knows.
 *
 * <p>A node may serve if, within {@value #EVIDENCE_BOUND_MILLIS} ms, the store was seen to hold
 * nothing newer than the node does, by the node itself or by one that told it. When nobody can read
 * the store, nothing newer can be stored either; the node may then serve if a majority of the VMs
 * answered its probes within the bound and it knows of nothing newer. A change counts as accepted
 * only once a majority holds it, so any two such majorities share a VM that would tell.
 *
 * <p>Thread-safe as far as the node that is asked is.
 */
public final class ServingRule {
  /** The longest time for which a node serves without evidence or a majority. */
  public static final long EVIDENCE_BOUND_MILLIS = 5_000;

  private ServingRule() {}

  /** Returns whether the node may serve routes that need a key. */
  public static ServingPermission permission(ControlNode node, long nowMillis) {
    if (!node.isSettled(nowMillis)) {
      return ServingPermission.refused(ServingPermission.Reason.NOT_SETTLED);
    }
    if (hasFreshEvidence(node, nowMillis)) {
      return ServingPermission.permitted(ServingPermission.Reason.FRESH);
    }
    if (node.isBehind()) {
      return ServingPermission.refused(ServingPermission.Reason.BEHIND);
    }
    return node.hasMajority(nowMillis)
        ? ServingPermission.permitted(ServingPermission.Reason.STORE_OUTAGE)
        : ServingPermission.refused(ServingPermission.Reason.ISOLATED);
  }

  /** Returns whether the node may take a change of the configuration from an operator. */
  public static boolean mayAcceptChange(ControlNode node, long nowMillis) {
    return node.isSettled(nowMillis) && node.hasMajority(nowMillis);
  }

  /**
   * Returns whether a stored version may be reported to the operator as accepted.
   *
   * @param version the version that the store holds
   */
  public static boolean isAccepted(ControlNode node, long version, long nowMillis) {
    return node.hasMajorityWith(version, nowMillis);
  }

  private static boolean hasFreshEvidence(ControlNode node, long nowMillis) {
    OptionalLong atMillis = node.evidenceAtMillis();
    return atMillis.isPresent() && nowMillis - atMillis.getAsLong() < EVIDENCE_BOUND_MILLIS;
  }
}
