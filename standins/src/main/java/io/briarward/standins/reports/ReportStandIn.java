package io.briarward.standins.reports;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.StandIn;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A stand-in for the platform's interface that accepts usage reports.
 *
 * <p>Counts reports that are repeated, that change the figures of an earlier report or that carry a
 * stale fencing number. Confined to its event loop.
 */
public final class ReportStandIn implements StandIn {
  private static final int REPORT_PATH_SEGMENTS = 4;

  private final Map<ReportKey, JsonNode> reports = new LinkedHashMap<>();
  private long highestFencingNumber;
  private long repeatedReports;
  private long differentFigures;
  private long staleFencingNumbers;

  private record ReportKey(String organisation, long windowStartMillis) {}

  private ReportStandIn() {}

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed);
  }

  /** Creates a stand-in that has received no reports. */
  public static ReportStandIn create() {
    return new ReportStandIn();
  }

  @Override
  public void handle(Exchange exchange) {
    ImmutableList<String> path = exchange.segments();
    boolean isReport =
        exchange.path().startsWith("/v1/reports/") && path.size() == REPORT_PATH_SEGMENTS;
    if (exchange.method().equals("PUT") && isReport) {
      ReportKey key = new ReportKey(path.get(2), Long.parseLong(path.get(3)));
      long fencingNumber =
          exchange
              .header("Fencing-Number")
              .map(Long::parseLong)
              .orElseThrow(() -> new IllegalArgumentException("header Fencing-Number is missing"));
      exchange.respond(accept(key, exchange.json(), fencingNumber));
    } else if (exchange.method().equals("GET") && exchange.path().equals("/v1/reports")) {
      exchange.respond(Response.json(200, Json.object().set("reports", reportsJson())));
    } else {
      exchange.respond(Response.notFound());
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object()
        .put("reports", reports.size())
        .put("repeatedReports", repeatedReports)
        .put("differentFigures", differentFigures)
        .put("staleFencingNumbers", staleFencingNumbers)
        .put("highestFencingNumber", highestFencingNumber);
  }

  private Response accept(ReportKey key, JsonNode figures, long fencingNumber) {
    if (fencingNumber < highestFencingNumber) {
      staleFencingNumbers++;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    JsonNode earlier = reports.putIfAbsent(key, figures);
    if (earlier == null) {
      return Response.json(201, figures);
    }
    if (earlier.equals(figures)) {
      repeatedReports++;
      return Response.json(200, earlier);
    }
    differentFigures++;
    return Response.error(409, "different-figures", "the figures reported first are " + earlier);
  }

  private ArrayNode reportsJson() {
    ArrayNode response = Json.array();
    reports.forEach(
        (key, figures) ->
            response
                .addObject()
                .put("organisation", key.organisation())
                .put("windowStartMillis", key.windowStartMillis())
                .set("figures", figures));
    return response;
  }
}
