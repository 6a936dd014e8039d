/**
 * Settings from command-line flags and environment variables.
 *
 * <p>Start with {@link io.briarward.node.settings.NodeSettings}; {@link
 * io.briarward.node.settings.SettingsParser} reads any class with args4j options.
 */
package io.briarward.node.settings;
