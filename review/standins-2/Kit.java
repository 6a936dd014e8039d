import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Stand-ins of the platform, a small HTTP client and server, and control of node processes. */
final class Kit {
  private Kit() {}

  static final long START = System.nanoTime();
  private static PrintWriter record;
  private static Path folder;
  private static final List<Process> STARTED = new ArrayList<>();
  private static final List<Node> NODES = new CopyOnWriteArrayList<>();

  /** Opens the record of the case; every line has the time since the start in milliseconds. */
  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file));
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
  }

  static synchronized void log(String line) {
    String full = String.format("%7d  %s", nowMs(), line);
    record.println(full);
    record.flush();
  }

  static long nowMs() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void exit(int code, String verdict) {
    for (Node node : NODES) {
      node.restarts = false;
    }
    log("verdict: " + verdict + " (exit " + code + ")");
    System.out.println(verdict);
    endAll();
    Runtime.getRuntime().halt(code);
  }

  /** Returns a new folder, which is deleted at the end. */
  static Path temporaryFolder() throws IOException {
    folder = Files.createTempDirectory("review");
    return folder;
  }

  /** Ends all processes that were started and deletes what they wrote. */
  static synchronized void endAll() {
    for (Process process : STARTED) {
      process.destroyForcibly();
    }
    for (Process process : STARTED) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
    if (folder != null) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.deleteIfExists(file);
        }
        Files.deleteIfExists(folder);
      } catch (IOException e) {
        log("the temporary folder was not deleted: " + e);
      }
      folder = null;
    }
  }

  // ---- JSON ----------------------------------------------------------------------------------

  /** Writes maps, lists, strings, numbers and booleans as JSON. */
  static String json(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value == null || value instanceof Number || value instanceof Boolean) {
      out.append(value);
    } else if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey().toString(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object each : list) {
        out.append(separator);
        write(each, out);
        separator = ",";
      }
      out.append(']');
    } else {
      out.append('"');
      String text = value.toString();
      for (int i = 0; i < text.length(); i++) {
        char c = text.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < 0x20) {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    }
  }

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> parseMap(String text) {
    return (Map<String, Object>) new Parser(text).value();
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> maps(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static long number(Object value) {
    return value == null ? 0 : ((Number) value).longValue();
  }

  private static final class Parser {
    private final String text;
    private int at;

    Parser(String text) {
      this.text = text;
    }

    Object value() {
      skip();
      char c = text.charAt(at);
      if (c == '{') {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
          String key = (String) value();
          skip();
          at++; // The colon.
          map.put(key, value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
        }
        at++;
        return map;
      }
      if (c == '[') {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
          list.add(value());
          skip();
          if (text.charAt(at) == ',') {
            at++;
            skip();
          }
        }
        at++;
        return list;
      }
      if (c == '"') {
        return string();
      }
      int from = at;
      while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      String word = text.substring(from, at);
      return switch (word) {
        case "true" -> true;
        case "false" -> false;
        case "null" -> null;
        default ->
            word.matches("-?[0-9]+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
      };
    }

    private String string() {
      int end = ++at;
      while (text.charAt(end) != '"' && text.charAt(end) != '\\') {
        end++;
      }
      if (text.charAt(end) == '"') {
        String plain = text.substring(at, end);
        at = end + 1;
        return plain;
      }
      StringBuilder out = new StringBuilder();
      while (text.charAt(at) != '"') {
        char c = text.charAt(at++);
        if (c == '\\') {
          char escaped = text.charAt(at++);
          switch (escaped) {
            case 'n' -> out.append('\n');
            case 'r' -> out.append('\r');
            case 't' -> out.append('\t');
            case 'b' -> out.append('\b');
            case 'f' -> out.append('\f');
            case 'u' -> {
              out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
              at += 4;
            }
            default -> out.append(escaped);
          }
        } else {
          out.append(c);
        }
      }
      at++;
      return out.toString();
    }

    private void skip() {
      while (at < text.length() && " \n\r\t".indexOf(text.charAt(at)) >= 0) {
        at++;
      }
    }
  }

  // ---- HTTP ----------------------------------------------------------------------------------

  /** A request or response that was read whole. */
  static final class Message {
    String line;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String method() {
      return line.substring(0, line.indexOf(' '));
    }

    String target() {
      return line.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    String query(String name, String fallback) {
      int mark = target().indexOf('?');
      if (mark < 0) {
        return fallback;
      }
      for (String pair : target().substring(mark + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return fallback;
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a message; returns null if the channel ends before its first byte. */
  static Message readMessage(InputStream in, boolean response) throws IOException {
    String line = readLine(in);
    while (line != null && line.isEmpty()) {
      line = readLine(in);
    }
    if (line == null) {
      return null;
    }
    Message message = new Message();
    message.line = line;
    for (String header = readLine(in); ; header = readLine(in)) {
      if (header == null) {
        throw new EOFException("head is incomplete");
      }
      if (header.isEmpty()) {
        break;
      }
      int colon = header.indexOf(':');
      message.headers.put(
          header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          header.substring(colon + 1).trim());
    }
    String length = message.header("content-length");
    if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String sizeLine = readLine(in);
        if (sizeLine == null) {
          throw new EOFException("body is incomplete");
        }
        int size = Integer.parseInt(sizeLine.split(";")[0].trim(), 16);
        if (size == 0) {
          while (true) {
            String trailer = readLine(in);
            if (trailer == null || trailer.isEmpty()) {
              break;
            }
          }
          break;
        }
        body.write(readExactly(in, size));
        readLine(in);
      }
      message.body = body.toByteArray();
    } else if (length != null) {
      message.body = readExactly(in, Integer.parseInt(length));
    } else if (response && message.status() != 204 && message.status() != 304) {
      message.body = in.readAllBytes();
    }
    return message;
  }

  private static byte[] readExactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("body is incomplete");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("line is incomplete");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  /** One accepted channel of a stand-in. */
  static final class Channel {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Channel(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    void respond(int status, String headers, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(
          ("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      out.write(all.toByteArray());
      out.flush();
    }

    void respondJson(int status, Object body) throws IOException {
      respond(
          status,
          "Content-Type: application/json\r\n",
          json(body).getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the channel with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  interface Handler {
    /** Handles one request; throws to end the channel. */
    void handle(Message request, Channel channel) throws Exception;
  }

  /** Serves requests on a free loopback port, one at a time on each channel. */
  static int serve(String name, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread acceptor =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket socket = server.accept();
                  Thread thread = new Thread(() -> serveChannel(socket, handler), name);
                  thread.setDaemon(true);
                  thread.start();
                } catch (IOException e) {
                  return;
                }
              }
            },
            name + "-accept");
    acceptor.setDaemon(true);
    acceptor.start();
    return server.getLocalPort();
  }

  private static void serveChannel(Socket socket, Handler handler) {
    try (socket) {
      Channel channel = new Channel(socket);
      while (true) {
        Message request = readMessage(channel.in, false);
        if (request == null) {
          return;
        }
        handler.handle(request, channel);
        if ("close".equalsIgnoreCase(request.header("connection"))) {
          return;
        }
      }
    } catch (Exception e) {
      // The channel has ended.
    }
  }

  /** Sends a request on a new channel and returns the response; null if none came. */
  static Message call(
      int port, String method, String target, String headers, byte[] body, int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setSoTimeout(timeoutMs);
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(
          (method
                  + " "
                  + target
                  + " HTTP/1.1\r\n"
                  + headers
                  + "Content-Length: "
                  + body.length
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      socket.getOutputStream().write(all.toByteArray());
      socket.getOutputStream().flush();
      return readMessage(new BufferedInputStream(socket.getInputStream(), 1 << 16), true);
    } catch (IOException e) {
      return null;
    }
  }

  // ---- The platform's store ------------------------------------------------------------------

  /** A store that keeps the rules of the pages: atomic transactions, a feed, objects. */
  static final class Store {
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private final Map<String, byte[]> blobs = new HashMap<>();
    private long version = 10;
    int port;

    static Store start() throws IOException {
      Store store = new Store();
      store.port = serve("store", store::handle);
      return store;
    }

    private void handle(Message request, Channel channel) throws Exception {
      String path = request.path();
      if (path.equals("/briarward/rows-tx")) {
        Thread.sleep(4);
        commit(parseMap(request.text()), channel);
      } else if (path.equals("/briarward/rows-get")) {
        Thread.sleep(4);
        channel.respondJson(200, read(request));
      } else if (path.equals("/briarward/rows-feed")) {
        feed(request, channel);
      } else if (path.startsWith("/briarward/blob-")) {
        Thread.sleep(25);
        blob(request, path, channel);
      } else {
        channel.respondJson(404, map());
      }
    }

    private void blob(Message request, String path, Channel channel) throws IOException {
      String name =
          URLDecoder.decode(path.substring(path.lastIndexOf('/') + 1), StandardCharsets.UTF_8);
      byte[] found;
      boolean put = path.startsWith("/briarward/blob-put/");
      synchronized (this) {
        found = blobs.get(name);
        if (put && found == null && request.body.length <= 8_388_608) {
          blobs.put(name, request.body);
        } else if (path.startsWith("/briarward/blob-drop/")) {
          blobs.remove(name);
        }
      }
      if (put) {
        channel.respondJson(
            found != null ? 412 : request.body.length > 8_388_608 ? 413 : 200, map());
      } else if (path.startsWith("/briarward/blob-get/")) {
        if (found == null) {
          channel.respondJson(404, map());
        } else {
          channel.respond(200, "Content-Type: application/octet-stream\r\n", found);
        }
      } else {
        channel.respondJson(200, map());
      }
    }

    private void commit(Map<String, Object> call, Channel channel) throws IOException {
      Map<String, Object> answer = map();
      int status = 200;
      synchronized (this) {
        List<Object> present = new ArrayList<>();
        for (Map<String, Object> condition : maps(call.get("expectRev"))) {
          Map<String, Object> row = rows.get(address(condition));
          if ((row == null ? 0 : number(row.get("ver"))) != number(condition.get("ver"))) {
            status = 412;
          }
          if (row != null) {
            present.add(row);
          }
        }
        if (status == 412) {
          answer.put("rows", present);
        } else {
          version++;
          for (Map<String, Object> put : maps(call.get("puts"))) {
            putRow(put, false);
          }
          for (Map<String, Object> delete : maps(call.get("delete"))) {
            putRow(delete, true);
          }
          notifyAll();
        }
        answer.put("ver", version);
        answer.put("nowMs", nowMs());
      }
      channel.respondJson(status, answer);
    }

    private void putRow(Map<String, Object> entry, boolean deleted) {
      Map<String, Object> row =
          map(
              "table", entry.get("table"),
              "part", entry.get("part"),
              "key", entry.get("key"),
              "value", deleted ? "" : entry.get("value"),
              "ver", version);
      if (deleted) {
        row.put("deleted", true);
        rows.remove(address(entry));
      } else {
        rows.put(address(entry), row);
      }
      changes.add(row);
    }

    /** Writes a row as the operator, a trainer or a sampler does. */
    synchronized void put(String table, String key, Object value) {
      version++;
      byte[] bytes = json(value).getBytes(StandardCharsets.UTF_8);
      putRow(
          map(
              "table", table,
              "part", "",
              "key", key,
              "value", Base64.getEncoder().encodeToString(bytes)),
          false);
      notifyAll();
    }

    /** Returns the decoded value of a row of the system, or null. */
    synchronized String value(String table, String key) {
      for (Map<String, Object> row : rows.values()) {
        if (row.get("table").equals(table) && row.get("key").equals(key)) {
          return new String(
              Base64.getDecoder().decode((String) row.get("value")), StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    private synchronized Map<String, Object> read(Message request) {
      String prefix = request.query("table", "") + "\u0000" + request.query("part", "") + "\u0000";
      String from = prefix + request.query("from", "");
      String to = prefix + request.query("to", "\uffff");
      int limit = Math.min(500, Integer.parseInt(request.query("limit", "500")));
      List<Object> found = new ArrayList<>();
      int bytes = 0;
      boolean more = false;
      for (Map<String, Object> row : rows.subMap(from, to).values()) {
        bytes += row.get("value").toString().length();
        if (found.size() == limit || (bytes > 1_000_000 && !found.isEmpty())) {
          more = true;
          break;
        }
        found.add(row);
      }
      return map("rows", found, "hasMore", more, "ver", version, "nowMs", nowMs());
    }

    private void feed(Message request, Channel channel) throws Exception {
      long after = Long.parseLong(request.query("after", "0"));
      String table = request.query("table", "");
      long until = System.nanoTime() + Long.parseLong(request.query("waitMs", "0")) * 1_000_000;
      Map<String, Object> answer;
      synchronized (this) {
        List<Object> changed = changed(table, after);
        while (changed.isEmpty()) {
          long leftMs = (until - System.nanoTime()) / 1_000_000;
          if (leftMs <= 0) {
            break;
          }
          wait(leftMs);
          changed = changed(table, after);
        }
        answer = map("rows", changed, "ver", version, "nowMs", nowMs());
      }
      Thread.sleep(4);
      channel.respondJson(200, answer);
    }

    private List<Object> changed(String table, long after) {
      List<Object> changed = new ArrayList<>();
      for (int i = changes.size() - 1; i >= 0; i--) {
        Map<String, Object> row = changes.get(i);
        if (number(row.get("ver")) <= after) {
          break;
        }
        if (row.get("table").equals(table)) {
          changed.add(0, row);
        }
      }
      return changed;
    }

    private static String address(Map<String, Object> entry) {
      return entry.get("table") + "\u0000" + entry.get("part") + "\u0000" + entry.get("key");
    }
  }

  // ---- Nodes ---------------------------------------------------------------------------------

  /** One machine of the class {@code front} on which the deploy file's program runs. */
  static final class Node {
    final String name;
    final int front;
    final int ready;
    private final Path settings;
    private final Path output;
    volatile Process process;
    volatile int ownEnds;
    volatile boolean restarts = true;
    volatile boolean outputStalled;
    private boolean outputPiped;

    Node(String name, String zone, int storePort, int cloudPort, Path directory)
        throws IOException {
      this.name = name;
      NODES.add(this);
      front = freePort();
      ready = freePort();
      int relay = freePort();
      settings = directory.resolve(name + ".json");
      output = directory.resolve(name + ".log");
      Files.writeString(
          settings,
          json(
              map(
                  "nodeName", name,
                  "role", "node",
                  "machineClass", "front",
                  "serves", List.of("front"),
                  "ip", "127.0.0.1",
                  "zone", zone,
                  "region", "viti-west",
                  "zones", map("lautoka", "viti-west", "nadi", "viti-west", "ba", "viti-west"),
                  "listen",
                      map("front", "127.0.0.1:" + front, "ready", "127.0.0.1:" + ready),
                  "portRange", List.of(relay, relay + 15),
                  "seedAddrs", List.of(),
                  "bootstrap", true,
                  "countsAsLoss", false,
                  "limits",
                      map(
                          "cpuShare", 0.75, "cpuCores", 2, "memoryMb", 490, "maxFds", 8200,
                          "linkMbps", 1000.0, "diskMb", 0),
                  "discovery", "platform",
                  "entry", "vip",
                  "heartbeatMs", 1200,
                  "tolerance", map("nodes", 1, "zones", 0, "regions", 0),
                  "bounds",
                      map(
                          "stableMs", 3000, "ackMs", 4000, "drainMs", 2000, "graceS", 8,
                          "lossSlackMs", 200, "applyMs", 2000, "leaseMs", 3000,
                          "unfreezeMs", 300, "requireFence", false, "reportWindowS", 5,
                          "usageLateS", 10, "recoverS", 12, "statusS", 120, "cancelMs", 3000,
                          "settleMs", 1000),
                  "provider",
                      map(
                          "addr", "127.0.0.1:" + storePort, "form", "table", "writesPerS", 800,
                          "readsPerS", 2000, "txMs", 5.0, "partWritesS", 200,
                          "rowBytes", 65536, "across", false, "historyS", 20,
                          "blobBytes", 8388608, "blobMs", 25.0, "blobMbS", 80.0),
                  "cloudApi",
                      map(
                          "addr", "127.0.0.1:" + cloudPort, "ratePerS", 50.0,
                          "duties", List.of("metering"), "dutyPerS", 50.0))));
    }

    /** Starts the program with the run line of the deploy file, and again after each end. */
    void start() throws IOException {
      startOnce();
      Thread watcher =
          new Thread(
              () -> {
                while (true) {
                  try {
                    Process watched = process;
                    int code = watched.waitFor();
                    if (!restarts) {
                      return;
                    }
                    log("process " + name + " ended, exit code " + code);
                    ownEnds++;
                    Thread.sleep(500);
                    startOnce();
                    log("process " + name + " started again");
                  } catch (InterruptedException | IOException e) {
                    return;
                  }
                }
              });
      watcher.setDaemon(true);
      watcher.start();
    }

    /** Reads the output through a pipe, as a collector of logs does; call before the start. */
    void pipeOutput() {
      outputPiped = true;
    }

    private void readOutput(InputStream in) {
      try (OutputStream file = Files.newOutputStream(output)) {
        byte[] buffer = new byte[8192];
        while (true) {
          while (outputStalled) {
            Thread.sleep(50);
          }
          int count = in.read(buffer);
          if (count < 0) {
            return;
          }
          file.write(buffer, 0, count);
        }
      } catch (IOException | InterruptedException e) {
        // The process has ended.
      }
    }

    private void startOnce() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runLine());
      builder.directory(root().toFile());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("BRIARWARD_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      if (!outputPiped) {
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      }
      synchronized (Kit.class) {
        process = builder.start();
        STARTED.add(process);
      }
      if (outputPiped) {
        InputStream in = process.getInputStream();
        Thread reader = new Thread(() -> readOutput(in));
        reader.setDaemon(true);
        reader.start();
      }
    }

    boolean isReady() {
      Message answer = call(ready, "GET", "/briarward/readyz", "Host: m\r\n", new byte[0], 1_000);
      return answer != null && answer.status() == 200;
    }

    String output() throws IOException {
      return Files.readString(output, StandardCharsets.ISO_8859_1);
    }
  }

  static Path root() {
    return Path.of(System.getProperty("review.root")).toAbsolutePath();
  }

  private static List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(root().resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(7, line.length() - 1).split(" "));
      }
    }
    throw new IOException("no run line in deploy/system.toml");
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  static void awaitReady(List<Node> nodes) throws Exception {
    long until = nowMs() + 40_000;
    for (Node node : nodes) {
      while (!node.isReady()) {
        if (nowMs() > until) {
          exit(2, node.name + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    log("all nodes are ready");
  }

  /** The limits of a configuration, as on the sites. */
  static Map<String, Object> limits() {
    return map(
        "headerBytes", 16384, "bodyBytes", 33554432, "headerTimeoutMs", 5000,
        "idleTimeoutMs", 15000);
  }

  /** The row of a sampler. */
  static Map<String, Object> sampler(String service, int port, int slots) {
    return map(
        "service", service,
        "addr", "127.0.0.1:" + port,
        "zone", "lautoka",
        "version", "v1",
        "slots", slots,
        "state", "ready",
        "warmupLeftMs", 0,
        "sequence", 1,
        "born", System.currentTimeMillis(),
        "stage", "both",
        "models", List.of(map("name", "m0", "version", 1, "adapters", List.of())));
  }

  static Map<String, Object> route(String name, String prefix, String kind, String service) {
    return map(
        "name", name, "host", "mill.example", "prefix", prefix, "kind", kind, "service", service,
        "timeoutMs", 10000, "goalMs", 500, "attempts", 3, "priority", 0, "dueMs", 7500,
        "maxWaitS", 40.0);
  }

  static Map<String, Object> service(String name) {
    return map("name", name, "maxConns", 160, "healthPath", "/healthz");
  }
}
