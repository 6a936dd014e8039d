package io.briarward.experiments.membership;

/**
 * Something that happens to a cluster.
 *
 * @param kind what happens
 * @param afterMillis the time since the event before
 * @param node the index of the node it happens to
 * @param mask selects the nodes on one side of a partition
 * @param lastsMillis how long pauses, outages and deaths last
 */
record Fault(Kind kind, int afterMillis, int node, int mask, int lastsMillis) {
  enum Kind {
    CHANGE,
    RACE,
    RESTART,
    PAUSE,
    STORE_DOWN,
    STORE_CUT,
    LOST_ANSWERS,
    ONE_WAY_CUT,
    PARTITION,
    HEAL
  }
}
