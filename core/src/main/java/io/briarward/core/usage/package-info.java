/**
 * Usage accounting: counts what each organisation used, preserves the counts when a VM fails and
 * freezes the figures that are billed.
 *
 * <p>The classes perform no I/O: callers pass the time and execute the returned actions. On the VM
 * that runs the work, start with {@link io.briarward.core.usage.UsageLedger} and {@link
 * io.briarward.core.usage.CopySender}; on the VMs that keep copies, with {@link
 * io.briarward.core.usage.CopyHolder}; for billing, with {@link
 * io.briarward.core.usage.WindowFreezer}.
 */
package io.briarward.core.usage;
