/**
 * Leases on duties that one process at a time may carry out, kept as rows of the table service.
 *
 * <p>Pure state: callers pass the monotonic time in milliseconds and carry out the actions
 * returned. Start with {@link io.briarward.core.lease.LeaseMachine}; code that sends orders asks
 * for a {@link io.briarward.core.lease.LeaseGuard} before each of them.
 */
package io.briarward.core.lease;
