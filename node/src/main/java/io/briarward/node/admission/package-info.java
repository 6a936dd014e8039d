/**
 * Admission of this node's requests, and the exchange of limit shares with other nodes.
 *
 * <p>Start with {@link io.briarward.node.admission.AdmissionGate}, which delays or rejects
 * requests; {@link io.briarward.node.admission.ShareExchange} keeps the node's shares of the limits
 * up to date.
 */
package io.briarward.node.admission;
