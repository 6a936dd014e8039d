package io.briarward.core.keys;

import io.briarward.core.distribution.ControlNode;
import java.util.OptionalLong;

/**
 * Decides whether a node may rely on its copy of the keys.
 *
 * <p>A node may serve if it knows, by its own read or from another node, that within the last
 * {@value #EVIDENCE_BOUND_MILLIS} ms the store held no later version than the node does. While no
 * node can read the store, no later version can be stored either; a node may then serve if a
 * majority of the VMs answered its probes within that time and it knows of no later version. A
 * change counts as accepted only once a majority holds it, and any two majorities share a VM, which
 * would report the later version.
 *
 * <p>As thread-safe as the {@link ControlNode} passed to it.
 */
public final class ServingRule {
  /**
   * The maximum time for which a node serves after its latest evidence, unless it has a majority.
   */
  public static final long EVIDENCE_BOUND_MILLIS = 5_000;

  private ServingRule() {}

  /** Returns whether the node may serve routes that require a key, and why. */
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

  /** Returns whether the node may accept a configuration change from an operator. */
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
