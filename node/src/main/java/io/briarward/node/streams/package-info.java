/** Shares through the platform's store at which software version each resumable stream began. */
package io.briarward.node.streams;
