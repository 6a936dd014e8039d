package io.briarward.cli;

import io.briarward.experiments.Experiment;
import io.briarward.experiments.Experiments;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Runs an experiment. */
final class ExperimentCommand implements Command {
  @Argument(
      metaVar = "NAME",
      usage = "the experiment; if absent, prints the names of all experiments")
  private String name = "";

  @Option(name = "--seed", usage = "the seed of all random choices")
  private long seed = 1;

  @Override
  public String summary() {
    return "runs an experiment";
  }

  @Override
  public int run() {
    if (name.isEmpty()) {
      Experiments.names().forEach(System.out::println);
      return ExitCodes.OK;
    }
    Optional<Experiment> experiment = Experiments.byName(name);
    if (experiment.isEmpty()) {
      System.err.println("experiment is " + name + ", expected one of " + Experiments.names());
      return ExitCodes.USAGE;
    }
    experiment.get().run(seed, System.out);
    return ExitCodes.OK;
  }
}
