/**
 * The configuration that this node serves from and its way from and to the table service.
 *
 * <p>Start with {@link io.briarward.node.configuration.ConfigurationHolder}.
 */
package io.briarward.node.configuration;
