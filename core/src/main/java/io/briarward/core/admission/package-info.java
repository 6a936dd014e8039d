/**
 * Which requests run now, which wait, and which are refused at once.
 *
 * <p>Start with {@link io.briarward.core.admission.AdmissionControl}, which a node asks for every
 * request, and {@link io.briarward.core.admission.ShareNegotiator}, which divides limits among the
 * nodes. Both perform no I/O, start no thread and read no clock.
 *
 * <p>A limit is divided by one node, its home, chosen by rendezvous hashing among the members that
 * can be reached. Nodes report their demand there and are granted shares for a limited time. The
 * alternatives weighed were a counter in the table service, which the request rate exceeds by two
 * orders of magnitude and whose outages would stop admission; gossip of demand with every node
 * computing its own share, where nodes with different views exceed the limit without a bound; and a
 * fixed division, which leaves most of a limit unused when callers gather on a few nodes.
 *
 * <p>A share is usable for {@link io.briarward.core.admission.ShareNegotiator#LEASE_MILLIS} after
 * the report that it answers, so that a node cut off from the home goes on with its last share. The
 * sum of all usable shares is at most the limit while every node agrees on the home. After the home
 * moved, it is at most twice the limit, for at most the lease time, and only if some holder cannot
 * reach the new home. In a lasting partition each side divides the part of the limit that its share
 * of the listed members gives it.
 */
package io.briarward.core.admission;
