/**
 * A library for building configurations and printing them as the JSON that operators submit.
 *
 * <p>Start with {@link io.briarward.operator.ConfigurationBuilder}; {@link
 * io.briarward.operator.examples} contains two complete examples.
 */
package io.briarward.operator;
