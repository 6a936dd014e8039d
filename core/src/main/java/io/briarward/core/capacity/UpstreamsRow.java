package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.function.Predicate;

/**
 * The value of a row of {@link OrderMachine#UPSTREAMS}, which lists upstreams for routing.
 *
 * @param entries the upstreams that have started, sorted by id
 */
public record UpstreamsRow(ImmutableList<Entry> entries) {
  static final UpstreamsRow EMPTY = new UpstreamsRow(ImmutableList.of());

  /** Checks the fields. */
  public UpstreamsRow {
    checkNotNull(entries, "entries");
  }

  /**
   * An upstream in the row.
   *
   * @param id the id assigned by the platform
   * @param service the id of the service that it runs
   * @param host its IP address
   * @param port its HTTP port
   * @param reclaimable whether the platform may reclaim it at a few seconds' notice
   * @param leaving whether it must not receive new work
   */
  public record Entry(
      String id, String service, String host, int port, boolean reclaimable, boolean leaving) {}

  static UpstreamsRow of(
      ImmutableList<ListedUpstream> upstreams, Predicate<ListedUpstream> leaving) {
    return new UpstreamsRow(
        upstreams.stream()
            .filter(each -> each.state() != ListedUpstream.State.STARTING)
            .sorted(Comparator.comparing(ListedUpstream::id))
            .map(each -> entry(each, leaving.test(each)))
            .collect(toImmutableList()));
  }

  /** Parses the value of a row. */
  public static UpstreamsRow parse(JsonNode value) {
    ImmutableList.Builder<Entry> entries = ImmutableList.builder();
    for (JsonNode node : value.path("upstreams")) {
      entries.add(
          new Entry(
              node.path("id").asText(),
              node.path("service").asText(),
              node.path("host").asText(),
              node.path("port").asInt(),
              node.path("reclaimable").asBoolean(),
              node.path("leaving").asBoolean()));
    }
    return new UpstreamsRow(entries.build());
  }

  /** Returns the value of the row. */
  public JsonNode toJson() {
    ObjectNode value = JsonNodeFactory.instance.objectNode();
    ArrayNode nodes = value.putArray("upstreams");
    for (Entry entry : entries) {
      nodes
          .addObject()
          .put("id", entry.id())
          .put("service", entry.service())
          .put("host", entry.host())
          .put("port", entry.port())
          .put("reclaimable", entry.reclaimable())
          .put("leaving", entry.leaving());
    }
    return value;
  }

  private static Entry entry(ListedUpstream upstream, boolean leaving) {
    return new Entry(
        upstream.id(),
        upstream.service(),
        upstream.host(),
        upstream.port(),
        upstream.market() == Market.RECLAIMABLE,
        leaving);
  }
}
