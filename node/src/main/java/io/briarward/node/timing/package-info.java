/** Actions repeated on the clock that tests pause and advance. */
package io.briarward.node.timing;
