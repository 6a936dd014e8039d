package io.briarward.core.rollout;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.weights.AnnouncedVersion;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A node that serves one trainer connection and performs one operation per step. */
final class SimulatedTrainerConnection {
  private final RolloutSimulation simulation;
  private final RolloutView view;
  private long cursor;
  private int phase;
  private long announcedAtRead;
  private Optional<DeliveryStep.Commit> prepared = Optional.empty();

  SimulatedTrainerConnection(RolloutSimulation simulation, long cursor) {
    this.simulation = simulation;
    this.view = simulation.newView();
    this.cursor = cursor;
  }

  void step(FaultyTable.Fault fault, boolean answerLost) {
    phase = (phase + 1) % 5;
    String prefix = simulation.key().prefix();
    FaultyTable table = simulation.table();
    boolean reads = fault == FaultyTable.Fault.NONE;
    if (phase == 1 && reads) {
      view.addOutcomes(table.scan(RolloutKey.OUTCOMES, prefix, view.lastOutcomeKey()));
    } else if (phase == 2 && reads) {
      view.addDeliveries(table.scan(RolloutKey.DELIVERIES, prefix, view.lastDeliveryKey()));
    } else if (phase == 3) {
      readAnnouncedAndDecide(fault, answerLost);
    } else if (phase == 4) {
      commit(fault, answerLost);
    }
  }

  private void readAnnouncedAndDecide(FaultyTable.Fault fault, boolean answerLost) {
    if (fault != FaultyTable.Fault.NONE) {
      return;
    }
    view.updateAnnounced(simulation.table().read(AnnouncedVersion.key(RolloutSimulation.SERVICE)));
    announcedAtRead = simulation.announced();
    DeliveryStep step = view.nextStep(cursor, "node", simulation.nowMillis());
    if (step instanceof DeliveryStep.Serve serve) {
      answer(serve, announcedAtRead, answerLost);
    } else if (step instanceof DeliveryStep.Commit commit) {
      prepared = Optional.of(commit);
    } else if (step instanceof DeliveryStep.Finished) {
      simulation.onFinished();
    }
  }

  private void commit(FaultyTable.Fault fault, boolean answerLost) {
    if (prepared.isEmpty()) {
      return;
    }
    DeliveryStep.Commit commit = prepared.get();
    prepared = Optional.empty();
    Optional<CommitResult> result = simulation.table().commit(commit.transaction(), fault);
    if (result.isPresent() && result.get().committed()) {
      answer(commit.serve(), simulation.announced(), answerLost);
    }
  }

  private void answer(DeliveryStep.Serve serve, long announced, boolean answerLost) {
    Set<String> groups = new HashSet<>();
    for (DeliveryStep.Entry entry : serve.groups()) {
      groups.add(entry.place().id());
      if (entry.fresh()) {
        simulation.checkFreshGroup(serve.cursor(), readGroup(entry.place()), announced);
      } else {
        simulation.checkStaleGroup(serve.cursor(), entry.place().id());
      }
    }
    simulation.checkAnswer(serve.cursor(), groups);
    if (!answerLost) {
      cursor = serve.cursor();
    }
  }

  private GroupResult readGroup(Delivery.Place place) {
    return RolloutCodec.parseGroups(simulation.objects().get(place.object())).get(place.position());
  }

  long cursor() {
    return cursor;
  }
}
