/**
 * Admission control: which requests run now, which wait and which are rejected.
 *
 * <p>Start with {@link io.briarward.core.admission.AdmissionControl}, which decides on each request
 * of a node, and {@link io.briarward.core.admission.ShareNegotiator}, which divides limits among
 * nodes. Both perform no I/O, start no thread and read no clock.
 *
 * <p>Each limit is divided by one node, its coordinator, chosen by rendezvous hashing among the
 * reachable members. Nodes report their demand to the coordinator and are granted leases of shares.
 * Three alternatives were rejected. The request rate exceeds the capacity of a counter in the table
 * service by two orders of magnitude, and outages of that service would stop admission. Gossip of
 * demand, with each node computing its own share, has no bound on how far nodes with different
 * views exceed the limit. A fixed division leaves most of a limit unused when callers connect to
 * only a few nodes.
 *
 * <p>A share is usable for {@link io.briarward.core.admission.ShareNegotiator#LEASE_MILLIS} after
 * the report that it answers, so that a node cut off from the coordinator continues with its last
 * share. The sum of all usable shares is at most the limit while all nodes agree on the
 * coordinator. After the coordinator changes, it is at most twice the limit, for at most the lease
 * time, and only if some lease holder cannot reach the new coordinator. In a lasting partition,
 * each side divides the limit in proportion to its fraction of the listed members.
 */
package io.briarward.core.admission;
