/**
 * Reading of request bodies and writing of responses, shared by the HTTP servers of a node.
 *
 * <p>{@link io.briarward.node.http.HttpAnswers} writes responses and problem documents.
 */
package io.briarward.node.http;
