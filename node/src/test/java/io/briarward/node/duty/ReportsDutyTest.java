package io.briarward.node.duty;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.platform.Transaction;
import io.briarward.core.usage.IncarnationRow;
import io.briarward.core.usage.SendOutcome;
import io.briarward.core.usage.UsageAmounts;
import io.briarward.core.usage.UsageKey;
import io.briarward.core.usage.UsageRow;
import io.briarward.core.usage.UsageSettings;
import io.briarward.core.usage.UsageTables;
import io.briarward.core.usage.UsageTotals;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReportsDutyTest {
  private static final UsageSettings SETTINGS = UsageSettings.defaults();
  private static final long STEP_INTERVAL_MILLIS = 50;
  private static final UsageKey KEY = new UsageKey("mill", "recipe-llm", "live");

  private final TestScheduler scheduler = new TestScheduler();
  private final FakeTableService tables = new FakeTableService();
  private final Map<String, JsonNode> accepted = new HashMap<>();
  private final ReportsDuty duty = newDuty("vm1.a");

  @Test
  void reportsSealedWindowAfterItsEnd() {
    writeSealedUsage(7);

    run(duty, SETTINGS.windowMillis() + 60_000);

    assertThat(accepted.get("mill/0").path("usage").get(0).path("requests").asLong()).isEqualTo(7);
  }

  @Test
  void reportsNothingBeforeWindowEnds() {
    writeSealedUsage(7);

    run(duty, SETTINGS.windowMillis() - 1_000);

    assertThat(accepted).isEmpty();
  }

  @Test
  void reportsWindowAfterStoreOutageEnds() {
    writeSealedUsage(7);
    tables.setOut(true);
    run(duty, SETTINGS.windowMillis() + 60_000);
    assertThat(accepted).isEmpty();

    tables.setOut(false);
    run(duty, 60_000);

    assertThat(accepted).containsKey("mill/0");
  }

  @Test
  void successorDoesNotRepeatRecordedReport() {
    writeSealedUsage(7);
    run(duty, SETTINGS.windowMillis() + 60_000);
    accepted.clear();

    run(newDuty("vm2.a"), 60_000);

    assertThat(accepted).isEmpty();
  }

  private ReportsDuty newDuty(String incarnation) {
    return ReportsDuty.create(
        tables,
        (organisation, windowStartMillis, figures, fencingNumber) ->
            Single.fromCallable(
                () -> {
                  accepted.put(organisation + '/' + windowStartMillis, figures);
                  return SendOutcome.ACCEPTED;
                }),
        scheduler,
        () -> scheduler.now(TimeUnit.MILLISECONDS),
        SETTINGS,
        incarnation);
  }

  private void writeSealedUsage(long requests) {
    UsageTotals totals =
        UsageTotals.copyOf(ImmutableMap.of(KEY, new UsageAmounts(requests, 0, 0, 0, 0)));
    tables
        .state()
        .commit(
            Transaction.builder()
                .put(UsageTables.usage(0, "vm9.a"), new UsageRow(totals, true).toJson())
                .put(
                    UsageTables.incarnation("vm9.a"),
                    new IncarnationRow(IncarnationRow.ENDED, 1).toJson())
                .build());
  }

  private void run(ReportsDuty target, long durationMillis) {
    for (long i = 0; i < durationMillis; i += STEP_INTERVAL_MILLIS) {
      target.step();
      scheduler.advanceTimeBy(STEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
