package io.briarward.standins.engine;

/**
 * The output of one step for one completion.
 *
 * @param generation the completion
 * @param text the generated text
 * @param tokens the number of generated tokens, 0 if the completion was already finished
 * @param weightVersion the weight version with which the tokens were generated
 */
record StepOutput(Generation generation, String text, int tokens, long weightVersion) {}
