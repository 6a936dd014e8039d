/**
 * Drives a running deployment through one training step and many live requests, and checks it.
 *
 * <p>Start with {@link io.briarward.experiments.demo.Demo}; {@code bin/demo} starts the processes.
 */
package io.briarward.experiments.demo;
