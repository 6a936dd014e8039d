package io.briarward.standins.engine;

/**
 * A contiguous range of tokens generated with one weight version.
 *
 * <p>The component names are the JSON fields of the response.
 *
 * @param version the weight version
 * @param start the position of the first token in the response
 * @param end the position after the last token
 */
record VersionSpan(long version, int start, int end) {}
