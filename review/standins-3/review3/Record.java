package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run, with the time in milliseconds since the start. */
final class Record {
  /** The samplers at which an item is at this moment, by item. */
  final Map<String, Set<String>> at = new ConcurrentHashMap<>();

  /** When an item was at a sampler last, in milliseconds since the start; absent if never. */
  final Map<String, Long> lastAt = new ConcurrentHashMap<>();

  /** The items that a sampler has finished. */
  final Set<String> finished = ConcurrentHashMap.newKeySet();

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(millis() + " " + text);
    out.flush();
  }

  void began(String item, String sampler, int after) {
    at.computeIfAbsent(item, unused -> ConcurrentHashMap.newKeySet()).add(sampler);
    lastAt.put(item, millis());
    line("run " + item + " at " + sampler + " after event " + after);
  }

  void ended(String item, String sampler, boolean whole) {
    at.get(item).remove(sampler);
    lastAt.put(item, millis());
    if (whole) {
      finished.add(item);
    }
    line((whole ? "ran " : "dropped ") + item + " at " + sampler);
  }
}
