/**
 * Planning of the number of upstreams in each data centre, and ordering them under a lease.
 *
 * <p>The classes perform no I/O: callers pass the time and execute the returned actions. {@link
 * io.briarward.core.capacity.CapacityPlanner} plans the number of upstreams. {@link
 * io.briarward.core.capacity.OrderMachine} records each order before it is sent.
 */
package io.briarward.core.capacity;
