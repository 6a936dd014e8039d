/**
 * Checks a running deployment with one training step and concurrent live requests.
 *
 * <p>{@link io.briarward.experiments.demo.Demo} is the entry point; {@code bin/demo} starts the
 * processes.
 */
package io.briarward.experiments.demo;
