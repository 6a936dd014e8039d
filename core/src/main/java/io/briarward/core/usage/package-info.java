/**
 * Counts what each organisation used, keeps it through the death of a VM and freezes what is
 * billed.
 *
 * <p>Pure state: callers pass the time and carry out what is returned. On the VM that runs the
 * work, start with {@link io.briarward.core.usage.UsageLedger} and {@link
 * io.briarward.core.usage.CopySender}; on the VM that keeps copies, with {@link
 * io.briarward.core.usage.CopyHolder}; for bills, with {@link
 * io.briarward.core.usage.WindowFreezer}.
 */
package io.briarward.core.usage;
