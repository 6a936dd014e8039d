package io.briarward.experiments.demo;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.experiments.demo.LiveCallers.Outcome;
import io.briarward.experiments.demo.LiveCallers.Verdict;
import io.briarward.experiments.demo.UsageCheck.Amounts;
import org.junit.jupiter.api.Test;

class UsageCheckTest {
  @Test
  void deliveredCountsOnlyCorrectAnswers() {
    Outcome correct = new Outcome("mill", true, Verdict.CORRECT, 5, "");
    Outcome rejected = new Outcome("mill", true, Verdict.REJECTED, 0, "");

    assertThat(UsageCheck.delivered(ImmutableList.of(correct, rejected), "trainer", 7))
        .containsExactly("mill", new Amounts(1, 5, 0), "trainer", new Amounts(0, 0, 7));
  }

  @Test
  void reportsOrganisationBilledWithoutDelivery() {
    Findings findings = new Findings();

    UsageCheck.compare(ImmutableMap.of("mill", new Amounts(1, 0, 0)), ImmutableMap.of(), findings);

    assertThat(findings.faults()).hasSize(1);
  }

  @Test
  void withoutLateRemovesExtraRequestOnlyIfOneWasLate() {
    LiveCallers.Outcome late =
        new LiveCallers.Outcome("mill", false, LiveCallers.Verdict.LATE, 0, "");
    ImmutableMap<String, UsageCheck.Amounts> billed =
        ImmutableMap.of("mill", new UsageCheck.Amounts(2, 0, 0));
    ImmutableMap<String, UsageCheck.Amounts> due =
        ImmutableMap.of("mill", new UsageCheck.Amounts(1, 0, 0));

    assertThat(UsageCheck.withoutLate(billed, due, ImmutableList.of(late))).isEqualTo(due);
    assertThat(UsageCheck.withoutLate(billed, due, ImmutableList.of())).isEqualTo(billed);
  }
}
