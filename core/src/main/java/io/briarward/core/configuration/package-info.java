/**
 * The configuration that operators submit and every node serves from.
 *
 * <p>Start with {@link io.briarward.core.configuration.Configuration}; {@link
 * io.briarward.core.configuration.ConfigurationCodec} converts it to and from JSON.
 */
package io.briarward.core.configuration;
