package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import io.briarward.experiments.demo.HttpCalls.Request;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Compares billed usage with delivered usage. */
final class UsageCheck {
  private static final long POLL_MILLIS = 250;
  private static final String ROLLOUT = "rollout";

  private final HttpCalls http;
  private final DemoSettings settings;

  /**
   * The usage of one organisation.
   *
   * @param liveRequests the number of live requests answered before their deadline
   * @param liveTokens the number of tokens in their answers
   * @param rolloutTokens the number of tokens in delivered samples
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

  /** Returns the usage to bill to each organisation. */
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
   * Returns the billed usage without live requests that ran but were answered after their deadline,
   * at most as many as the callers counted as late.
   */
  static ImmutableSortedMap<String, Amounts> withoutLate(
      Map<String, Amounts> billed, Map<String, Amounts> delivered, List<LiveCallers.Outcome> live) {
    Map<String, Amounts> remaining = new TreeMap<>(billed);
    for (LiveCallers.Outcome outcome : live) {
      String organisation = outcome.organisation();
      Amounts bill = remaining.getOrDefault(organisation, Amounts.ZERO);
      Amounts expected = delivered.getOrDefault(organisation, Amounts.ZERO);
      boolean late = outcome.verdict() == LiveCallers.Verdict.LATE;
      if (late && bill.liveRequests() > expected.liveRequests()) {
        long tokens = outcome.streamed() ? expected.liveTokens() : bill.liveTokens();
        remaining.put(
            organisation, new Amounts(bill.liveRequests() - 1, tokens, bill.rolloutTokens()));
      }
    }
    return ImmutableSortedMap.copyOf(remaining);
  }

  /** Records a fault for each organisation whose billed usage differs from its delivered usage. */
  static void compare(
      Map<String, Amounts> billed, Map<String, Amounts> delivered, Findings findings) {
    for (String organisation : Sets.union(billed.keySet(), delivered.keySet())) {
      Amounts bill = billed.getOrDefault(organisation, Amounts.ZERO);
      Amounts expected = delivered.getOrDefault(organisation, Amounts.ZERO);
      findings.expect(
          bill.equals(expected), "%s was billed %s for %s", organisation, bill, expected);
    }
  }

  /**
   * Waits until the billed usage equals the delivered usage, then for the settling time, which is
   * longer than a usage window, and returns the billed usage. Returns the usage billed so far when
   * the time-out for reports expires.
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
    JsonNode answer = http.sendForJson(Request.get(settings.reports(), "/v1/reports"));
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
