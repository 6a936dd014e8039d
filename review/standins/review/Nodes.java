package review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs nodes as processes, with the command of the deploy file. */
final class Nodes implements AutoCloseable {
  private static final long READY_TIMEOUT_MILLIS = 30_000;

  private final Path root;
  private final Path directory;
  private final Store store;
  private final Record record;
  private final List<Node> nodes = new ArrayList<>();
  private final Shell shell = new Shell();

  Nodes(Path root, Path directory, Store store, Record record) throws IOException {
    this.root = root;
    this.directory = directory;
    this.store = store;
    this.record = record;
    // Ends the nodes also if this process is stopped.
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private void killAll() {
    for (Node node : nodes) {
      node.process.destroyForcibly();
    }
  }

  /** A running shell, so that a signal is sent without the delay of starting a process. */
  private static final class Shell implements AutoCloseable {
    private final Process process;
    private final BufferedReader answers;

    Shell() throws IOException {
      process = new ProcessBuilder("bash").redirectErrorStream(true).start();
      answers = process.inputReader();
    }

    synchronized void run(String command) throws IOException {
      process.outputWriter().write(command + "; echo done\n");
      process.outputWriter().flush();
      String answer = answers.readLine();
      if (!"done".equals(answer)) {
        throw new CannotRunException("'" + command + "' failed: " + answer);
      }
    }

    @Override
    public void close() {
      process.destroyForcibly();
    }
  }

  /** A process of the system. */
  final class Node {
    final String name;
    final int callerPort;
    final int readyPort;
    private final Path settings;
    private Process process;

    Node(String name, String zone) throws IOException {
      this.name = name;
      this.callerPort = freePort();
      this.readyPort = freePort();
      this.settings = directory.resolve(name + ".json");
      Files.writeString(settings, settings(name, zone, callerPort, readyPort).toString());
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command()).directory(root.toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("BRIARWARD_CONFIG", settings.toString());
      builder
          .redirectErrorStream(true)
          .redirectOutput(
              ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
      process = builder.start();
      record.line("node %s: started", name);
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException {
      record.line("node %s: SIG%s", name, signal);
      shell.run("kill -" + signal + " " + process.pid());
    }

    boolean isAlive() {
      return process.isAlive();
    }

    boolean ready() {
      try {
        return new Caller(readyPort)
                .send("GET /briarward/readyz", "localhost", "", new byte[0])
                .status()
            == 200;
      } catch (IOException e) {
        return false;
      }
    }

    void awaitReady() throws Exception {
      long endMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
      while (!ready()) {
        if (System.currentTimeMillis() > endMillis) {
          throw new CannotRunException("node " + name + " is not ready");
        }
        Thread.sleep(100);
      }
      record.line("node %s: ready", name);
    }

    /** Returns the lines of the log that contain a text. */
    List<String> logLines(String text) throws IOException {
      return Files.readAllLines(directory.resolve(name + ".log")).stream()
          .filter(line -> line.contains(text))
          .toList();
    }
  }

  Node start(String name, String zone) throws Exception {
    Node node = new Node(name, zone);
    nodes.add(node);
    node.start();
    return node;
  }

  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(words.split(" "));
      }
    }
    throw new CannotRunException("deploy/system.toml has no run line");
  }

  private ObjectNode settings(String name, String zone, int callerPort, int readyPort)
      throws IOException {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings
        .put("nodeName", name)
        .put("role", "node")
        .put("machineClass", "front")
        .put("ip", "127.0.0.1")
        .put("zone", zone)
        .put("region", "viti-west")
        .put("bootstrap", true)
        .put("discovery", "platform")
        .put("heartbeatMs", 1_200);
    settings
        .putObject("listen")
        .put("front", "127.0.0.1:" + callerPort)
        .put("ready", "127.0.0.1:" + readyPort);
    settings.putArray("portRange").add(freePort()).add(65_535);
    settings.putObject("limits").put("memoryMb", 490).put("maxFds", 8_200);
    settings
        .putObject("bounds")
        .put("stableMs", 3_000)
        .put("graceS", 8)
        .put("leaseMs", 3_000)
        .put("reportWindowS", 5)
        .put("statusS", 120);
    settings.putObject("provider").put("addr", store.addressFor(name)).put("form", "table");
    settings.putObject("cloudApi").put("addr", store.address());
    return settings;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() throws Exception {
    shell.close();
    for (Node node : nodes) {
      // A stopped process ends at SIGKILL as well.
      node.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }
}
