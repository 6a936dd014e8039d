/**
 * Two whole deployments, printed to the files of the same names under {@code examples/}.
 *
 * <p>Start with {@link io.briarward.operator.examples.TubeMill}. {@link
 * io.briarward.operator.examples.ExamplePrinter} prints the files again after a change. The secrets
 * of the keys are constants, so that the examples can be tried; a real deployment chooses its own.
 */
package io.briarward.operator.examples;
