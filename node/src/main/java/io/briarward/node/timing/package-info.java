/** Periodic actions on a scheduler, whose clock tests can control. */
package io.briarward.node.timing;
