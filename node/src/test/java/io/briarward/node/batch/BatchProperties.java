package io.briarward.node.batch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class BatchProperties {
  @Property(seed = "901", tries = 60)
  void acceptedBatchesCompleteAndRecordedResultsNeverChange(@ForAll long seed) {
    new BatchSimulation(seed).run();
  }

  /** Guards against items that never start, or start twice, where batches compete. */
  @Property(seed = "902", tries = 30)
  void acceptedBatchesCompleteWhereBatchesCompete(@ForAll long seed) {
    new BatchSimulation(seed).compete().run();
  }
}
