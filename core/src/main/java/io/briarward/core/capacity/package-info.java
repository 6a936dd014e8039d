/**
 * Plans how many upstreams each data centre runs, and orders them under a lease.
 *
 * <p>Pure state: callers pass the time and carry out what is returned. {@link
 * io.briarward.core.capacity.CapacityPlanner} decides, {@link
 * io.briarward.core.capacity.OrderMachine} records each order before it is sent.
 */
package io.briarward.core.capacity;
