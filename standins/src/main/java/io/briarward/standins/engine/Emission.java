package io.briarward.standins.engine;

/**
 * What one step generated for one completion.
 *
 * @param generation the completion
 * @param text the new text
 * @param tokens the number of new tokens, 0 when nothing was left to generate
 * @param weightVersion the weights that generated them
 */
record Emission(Generation generation, String text, int tokens, long weightVersion) {}
