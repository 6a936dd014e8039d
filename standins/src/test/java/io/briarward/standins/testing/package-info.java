/**
 * Test support for stand-ins.
 *
 * <p>Start with {@link io.briarward.standins.testing.StandInExtension}.
 */
package io.briarward.standins.testing;
