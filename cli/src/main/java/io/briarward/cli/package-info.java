/**
 * The {@code briarward} command: nodes, the operators' client, stand-ins and experiments.
 *
 * <p>Start with {@link io.briarward.cli.Main}.
 */
package io.briarward.cli;
