/** Clocks of a process, given the readings of the clocks of its VM. */
package io.briarward.core.time;
