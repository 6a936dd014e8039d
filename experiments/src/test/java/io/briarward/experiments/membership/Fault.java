package io.briarward.experiments.membership;

/**
 * An event in a schedule of changes and faults.
 *
 * @param kind the kind of the event
 * @param afterMillis the delay after the previous event
 * @param node the index of the affected node
 * @param mask selects the nodes on one side of a partition
 * @param lastsMillis the duration of a pause or restart; a store outage lasts 4 times as long
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
