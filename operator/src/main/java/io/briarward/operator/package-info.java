/**
 * The library with which operators build a configuration and print it as the JSON they submit.
 *
 * <p>Start with {@link io.briarward.operator.ConfigurationBuilder}; {@link
 * io.briarward.operator.examples} holds two whole deployments.
 */
package io.briarward.operator;
