/**
 * Decides which API keys are valid and whether a node may rely on what it knows about them.
 *
 * <p>Start with {@link io.briarward.core.keys.KeyIndex}, which finds the key that a secret belongs
 * to; {@link io.briarward.core.keys.ServingRule} decides whether a node may rely on it.
 */
package io.briarward.core.keys;
