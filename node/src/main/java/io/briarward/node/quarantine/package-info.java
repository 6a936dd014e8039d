/** Shares through the platform's store which requests ended the upstreams that ran them. */
package io.briarward.node.quarantine;
