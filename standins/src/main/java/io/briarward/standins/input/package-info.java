/** Input as a faulty sender produces it. */
package io.briarward.standins.input;
