package io.briarward.node.batch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class BatchProperties {
  @Property(seed = "901", tries = 60)
  void acceptedBatchesCompleteAndRecordedResultsNeverChange(@ForAll long seed) {
    new BatchSimulation(seed).run();
  }
}
