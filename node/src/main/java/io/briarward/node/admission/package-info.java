/**
 * Admission of this node's requests, and the exchange of limit shares with other nodes.
 *
 * <p>Start with {@link io.briarward.node.admission.AdmissionGate}; {@link
 * io.briarward.node.admission.ShareExchange} keeps its shares up to date.
 */
package io.briarward.node.admission;
