package io.briarward.cli;

import com.google.common.collect.ImmutableSortedMap;
import io.briarward.node.settings.SettingsException;
import io.briarward.node.settings.SettingsParser;
import java.util.Arrays;
import java.util.function.Supplier;

/** The entry point of the {@code briarward} command. */
public final class Main {
  private static final ImmutableSortedMap<String, Supplier<Command>> COMMANDS =
      ImmutableSortedMap.<String, Supplier<Command>>naturalOrder()
          .put("apply", ApplyCommand::new)
          .put("bench", BenchCommand::new)
          .put("check", CheckCommand::new)
          .put("demo", DemoCommand::new)
          .put("errors", ErrorsCommand::new)
          .put("experiment", ExperimentCommand::new)
          .put("fault-run", FaultRunCommand::new)
          .put("get", GetCommand::new)
          .put("keys", KeysCommand::new)
          .put("node", NodeCommand::new)
          .put("platform-node", PlatformNodeCommand::new)
          .put("standin", StandInCommand::new)
          .put("start-trial", StartTrialCommand::new)
          .put("status", StatusCommand::new)
          .put("version", VersionCommand::new)
          .build();

  private Main() {}

  /** Runs the subcommand that the first argument names, and exits with its exit code. */
  public static void main(String[] arguments) {
    // Makes RxJava's clock monotonic, so that jumps of the wall clock do not shift deadlines.
    System.setProperty("rx3.scheduler.use-nanotime", "true");
    System.setProperty("slf4j.internal.verbosity", "WARN");
    // Netty would otherwise initialise the JDK's flight recorder for the events of its allocator.
    System.setProperty("io.netty.jfr.enabled", "false");
    int exitCode = run(arguments);
    System.out.flush();
    System.exit(exitCode);
  }

  private static int run(String... arguments) {
    if (arguments.length == 0 || isHelp(arguments[0])) {
      printCommands();
      return arguments.length == 0 ? ExitCodes.USAGE : ExitCodes.OK;
    }
    Supplier<Command> supplier = COMMANDS.get(arguments[0]);
    if (supplier == null) {
      System.err.println("command is " + arguments[0] + ", expected one of " + COMMANDS.keySet());
      return ExitCodes.USAGE;
    }
    return run(supplier.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
  }

  private static int run(Command command, String... arguments) {
    if (Arrays.stream(arguments).anyMatch(Main::isHelp)) {
      System.out.println(command.summary());
      System.out.print(SettingsParser.help(command.options()));
      return ExitCodes.OK;
    }
    try {
      SettingsParser.parse(command.options(), System.getenv(), arguments);
      return command.run();
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return ExitCodes.USAGE;
    } catch (NodeRequestException e) {
      System.err.println(e.getMessage());
      return e.exitCode();
    } catch (Exception e) {
      System.err.println(e);
      return ExitCodes.FAILED;
    }
  }

  private static boolean isHelp(String argument) {
    return argument.equals("--help") || argument.equals("-h");
  }

  private static void printCommands() {
    System.out.println("usage: briarward COMMAND [--flags], where COMMAND is one of");
    COMMANDS.forEach(
        (name, command) -> System.out.printf("  %-12s%s%n", name, command.get().summary()));
    System.out.println(
        "A flag --some-flag may also be set by the environment variable BRIARWARD_SOME_FLAG.");
    System.out.println(
        "Exit codes: 0 success, 1 failure, 2 invalid usage, 3 node unreachable, 4 invalid input.");
  }
}
