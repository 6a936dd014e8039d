/**
 * The one binary: daemons, the operators' client, stand-ins and experiments.
 *
 * <p>Start with {@link io.briarward.cli.Main}.
 */
package io.briarward.cli;
