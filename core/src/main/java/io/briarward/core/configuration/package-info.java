/**
 * The configuration that operators submit and every node serves from.
 *
 * <p>Start with {@link io.briarward.core.configuration.Configuration}; {@link
 * io.briarward.core.configuration.ConfigurationCodec} reads and prints it as JSON.
 */
package io.briarward.core.configuration;
