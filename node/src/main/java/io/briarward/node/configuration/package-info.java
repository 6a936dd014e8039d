/**
 * The configuration that this node serves from: how it is stored in the table service, exchanged
 * with other nodes and checked for freshness.
 *
 * <p>Start with {@link io.briarward.node.configuration.ConfigurationHolder}, which holds the
 * configuration, and {@link io.briarward.node.configuration.ControlService}, which updates it.
 */
package io.briarward.node.configuration;
