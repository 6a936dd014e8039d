/** What tests of stand-ins share; start with {@link io.briarward.standins.testing.StandInRule}. */
package io.briarward.standins.testing;
