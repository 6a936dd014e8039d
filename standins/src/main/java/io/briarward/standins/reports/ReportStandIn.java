package io.briarward.standins.reports;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.StandIn;
import java.util.LinkedHashMap;
import java.util.Map;

/** Accepts usage reports and counts those that break a rule. */
public final class ReportStandIn implements StandIn {
  private static final int REPORT_SEGMENTS = 4;

  private final Map<ReportKey, JsonNode> reports = new LinkedHashMap<>();
  private long highestFencingNumber;
  private long repeatedReports;
  private long differentFigures;
  private long staleFencingNumbers;

  private record ReportKey(String organisation, long windowStartMillis) {}

  private ReportStandIn() {}

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed);
  }

  /** Returns a stand-in without reports. */
  public static ReportStandIn create() {
    return new ReportStandIn();
  }

  @Override
  public void handle(Call call) {
    ImmutableList<String> path = call.segments();
    boolean isReport = call.path().startsWith("/v1/reports/") && path.size() == REPORT_SEGMENTS;
    if (call.method().equals("PUT") && isReport) {
      ReportKey key = new ReportKey(path.get(2), Long.parseLong(path.get(3)));
      long fencingNumber =
          call.header("Fencing-Number")
              .map(Long::parseLong)
              .orElseThrow(() -> new IllegalArgumentException("Fencing-Number is missing"));
      call.answer(accept(key, call.json(), fencingNumber));
    } else if (call.method().equals("GET") && call.path().equals("/v1/reports")) {
      call.answer(Answer.json(200, Json.object().set("reports", describe())));
    } else {
      call.answer(Answer.notFound());
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

  private Answer accept(ReportKey key, JsonNode figures, long fencingNumber) {
    if (fencingNumber < highestFencingNumber) {
      staleFencingNumbers++;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    JsonNode earlier = reports.putIfAbsent(key, figures);
    if (earlier == null) {
      return Answer.json(201, figures);
    }
    if (earlier.equals(figures)) {
      repeatedReports++;
      return Answer.json(200, earlier);
    }
    differentFigures++;
    return Answer.error(409, "different-figures", "first reported as " + earlier);
  }

  private ArrayNode describe() {
    ArrayNode answer = Json.array();
    reports.forEach(
        (key, figures) ->
            answer
                .addObject()
                .put("organisation", key.organisation())
                .put("windowStartMillis", key.windowStartMillis())
                .set("figures", figures));
    return answer;
  }
}
