/**
 * Carries versions of the configuration between the nodes and the table service.
 *
 * <p>Start with {@link io.briarward.node.configuration.ConfigurationMessageCodec}, which translates
 * between messages and their protobuf form.
 */
package io.briarward.node.configuration;
