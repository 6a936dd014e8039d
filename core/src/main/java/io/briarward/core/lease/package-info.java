/**
 * Leases on duties that at most one process at a time may carry out, stored as rows of the table
 * service.
 *
 * <p>The classes perform no I/O: callers pass the monotonic time in milliseconds and execute the
 * returned actions. Start with {@link io.briarward.core.lease.LeaseMachine}; code that sends orders
 * obtains a {@link io.briarward.core.lease.LeaseGuard} before each order.
 */
package io.briarward.core.lease;
