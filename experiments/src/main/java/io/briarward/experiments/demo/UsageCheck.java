package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import io.briarward.experiments.demo.HttpCalls.Request;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Compares what was billed with what was delivered. */
final class UsageCheck {
  private static final long POLL_MILLIS = 250;
  private static final String ROLLOUT = "rollout";

  private final HttpCalls http;
  private final DemoSettings settings;

  /**
   * Amounts of one organisation.
   *
   * @param liveRequests the live requests answered in their due time
   * @param liveTokens the tokens generated for them
   * @param rolloutTokens the tokens of delivered samples
   */
  record Amounts(long liveRequests, long liveTokens, long rolloutTokens) {
    static final Amounts ZERO = new Amounts(0, 0, 0);

    Amounts plus(Amounts other) {
      return new Amounts(
          liveRequests + other.liveRequests,
          liveTokens + other.liveTokens,
          rolloutTokens + other.rolloutTokens);
    }
  }

  UsageCheck(HttpCalls http, DemoSettings settings) {
    this.http = http;
    this.settings = settings;
  }

  /** Returns what is to be billed to each organisation. */
  static ImmutableSortedMap<String, Amounts> delivered(
      List<LiveCallers.Outcome> live, String trainer, long rolloutTokens) {
    Map<String, Amounts> byOrganisation = new TreeMap<>();
    if (rolloutTokens > 0) {
      byOrganisation.put(trainer, new Amounts(0, 0, rolloutTokens));
    }
    for (LiveCallers.Outcome outcome : live) {
      if (outcome.verdict() == LiveCallers.Verdict.CORRECT) {
        Amounts one = new Amounts(1, outcome.tokens(), 0);
        byOrganisation.merge(outcome.organisation(), one, Amounts::plus);
      }
    }
    return ImmutableSortedMap.copyOf(byOrganisation);
  }

  /**
   * Returns the bill without live requests that ran and whose answer came after the due time, at
   * most as many as callers saw late.
   */
  static ImmutableSortedMap<String, Amounts> withoutLate(
      Map<String, Amounts> billed, Map<String, Amounts> delivered, List<LiveCallers.Outcome> live) {
    Map<String, Amounts> remaining = new TreeMap<>(billed);
    for (LiveCallers.Outcome outcome : live) {
      String organisation = outcome.organisation();
      Amounts bill = remaining.getOrDefault(organisation, Amounts.ZERO);
      Amounts due = delivered.getOrDefault(organisation, Amounts.ZERO);
      boolean late = outcome.verdict() == LiveCallers.Verdict.LATE;
      if (late && bill.liveRequests() > due.liveRequests()) {
        long tokens = outcome.streamed() ? due.liveTokens() : bill.liveTokens();
        remaining.put(
            organisation, new Amounts(bill.liveRequests() - 1, tokens, bill.rolloutTokens()));
      }
    }
    return ImmutableSortedMap.copyOf(remaining);
  }

  /** Records each organisation that was billed something else than was delivered. */
  static void compare(
      Map<String, Amounts> billed, Map<String, Amounts> delivered, Findings findings) {
    for (String organisation : Sets.union(billed.keySet(), delivered.keySet())) {
      Amounts bill = billed.getOrDefault(organisation, Amounts.ZERO);
      Amounts due = delivered.getOrDefault(organisation, Amounts.ZERO);
      findings.expect(bill.equals(due), "%s was billed %s for %s", organisation, bill, due);
    }
  }

  /**
   * Returns what was billed, once it has equalled what was delivered for longer than a window, or
   * when the time allowed for reports is over.
   */
  ImmutableSortedMap<String, Amounts> awaitBilled(ImmutableSortedMap<String, Amounts> delivered)
      throws InterruptedException {
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.reportTimeoutMillis());
    ImmutableSortedMap<String, Amounts> billed = billed();
    while (!billed.equals(delivered) && System.nanoTime() < deadlineNanos) {
      Thread.sleep(POLL_MILLIS);
      billed = billed();
    }
    if (billed.equals(delivered)) {
      Thread.sleep(settings.reportSettleMillis());
    }
    return billed();
  }

  private ImmutableSortedMap<String, Amounts> billed() {
    Map<String, Amounts> byOrganisation = new TreeMap<>();
    JsonNode answer = http.json(Request.get(settings.reports(), "/v1/reports"));
    for (JsonNode report : answer.path("reports")) {
      String organisation = report.path("organisation").asText();
      for (JsonNode usage : report.at("/figures/usage")) {
        byOrganisation.merge(organisation, amounts(usage), Amounts::plus);
      }
    }
    return ImmutableSortedMap.copyOf(byOrganisation);
  }

  private static Amounts amounts(JsonNode usage) {
    long tokens = usage.path("completionTokens").asLong();
    return usage.path("kind").asText().equals(ROLLOUT)
        ? new Amounts(0, 0, tokens)
        : new Amounts(usage.path("requests").asLong(), tokens, 0);
  }
}
