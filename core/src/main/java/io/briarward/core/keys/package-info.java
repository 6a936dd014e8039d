/**
 * Lookup of API keys, and the decision whether a node's copy of them is recent enough to rely on.
 *
 * <p>Start with {@link io.briarward.core.keys.KeyIndex}, which finds the key with a given secret;
 * {@link io.briarward.core.keys.ServingRule} decides whether a node may rely on its keys.
 */
package io.briarward.core.keys;
