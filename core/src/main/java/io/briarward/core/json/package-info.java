/** Trees of JSON texts, read and written without data binding. */
package io.briarward.core.json;
