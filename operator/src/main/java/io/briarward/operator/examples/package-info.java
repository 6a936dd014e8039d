/**
 * Two complete example configurations, printed to files under {@code examples/}.
 *
 * <p>Start with {@link io.briarward.operator.examples.TubeMill}. {@link
 * io.briarward.operator.examples.ExamplePrinter} regenerates the files after a change. The secrets
 * of the keys are constants, so that the examples can be run; a real deployment chooses its own.
 */
package io.briarward.operator.examples;
