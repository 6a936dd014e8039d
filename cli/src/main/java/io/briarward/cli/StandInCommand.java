package io.briarward.cli;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import io.briarward.node.settings.SettingsException;
import io.briarward.node.telemetry.ProcessOutput;
import io.briarward.standins.StandIns;
import io.briarward.standins.http.RunningStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;

/** Runs stand-ins for outside systems until the process receives a signal to stop. */
final class StandInCommand implements Command {
  @Argument(
      required = true,
      metaVar = "NAME:PORT[,KEY=VALUE]...",
      usage = "the stand-ins to run in this process")
  private List<String> specs = new ArrayList<>();

  @Option(name = "--host", metaVar = "IP", usage = "the IP address to listen on")
  private String host = "127.0.0.1";

  @Override
  public String summary() {
    return "runs stand-ins for engines, plain services and the platform";
  }

  @Override
  public int run() throws Exception {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    for (String text : specs) {
      Spec spec = Spec.parse(text);
      RunningStandIn running =
          StandIns.start(spec.name(), vertx, host, spec.port(), spec.options()).blockingGet();
      System.out.println(spec.name().label() + " " + host + ":" + running.port());
    }
    System.out.flush();
    ProcessOutput.redirectSystemStreams();
    CountDownLatch stopped = new CountDownLatch(1);
    Signal.handle(new Signal("TERM"), unused -> stopped.countDown());
    Signal.handle(new Signal("INT"), unused -> stopped.countDown());
    stopped.await();
    return ExitCodes.OK;
  }

  /** A stand-in to run, as specified on the command line. */
  private record Spec(StandIns.Name name, int port, ImmutableMap<String, String> options) {
    private static final Splitter COMMA = Splitter.on(',').omitEmptyStrings();

    static Spec parse(String text) {
      int colon = text.indexOf(':');
      int comma = text.indexOf(',');
      int end = comma < 0 ? text.length() : comma;
      if (colon < 0 || colon > end) {
        throw invalid(text);
      }
      StandIns.Name name =
          StandIns.Name.byLabel(text.substring(0, colon)).orElseThrow(() -> invalid(text));
      Integer port = Ints.tryParse(text.substring(colon + 1, end));
      if (port == null || port < 0 || port > 65_535) {
        throw invalid(text);
      }
      return new Spec(name, port, options(text, end));
    }

    private static ImmutableMap<String, String> options(String text, int end) {
      ImmutableMap.Builder<String, String> options = ImmutableMap.builder();
      for (String option : COMMA.split(text.substring(end))) {
        int equals = option.indexOf('=');
        if (equals < 1) {
          throw invalid(text);
        }
        options.put(option.substring(0, equals), option.substring(equals + 1));
      }
      return options.buildKeepingLast();
    }

    private static SettingsException invalid(String text) {
      return new SettingsException(
          "stand-in is " + text + ", expected NAME:PORT[,KEY=VALUE]... such as engine:9001");
    }
  }
}
