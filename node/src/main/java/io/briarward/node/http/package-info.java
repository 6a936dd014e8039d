/**
 * What the HTTP servers of a node share.
 *
 * <p>Start with {@link io.briarward.node.http.HttpAnswers}.
 */
package io.briarward.node.http;
