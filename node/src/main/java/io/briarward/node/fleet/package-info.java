/** Follows the rows of the store that tell the configuration, the upstreams and the other nodes. */
package io.briarward.node.fleet;
