package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

class CopySenderTest {
  private static final UsageKey KEY = new UsageKey("mill", "recipe-llm", "live");

  private final UsageLedger ledger = UsageLedger.create(UsageSettings.defaults(), 0);
  private final CopySender sender = CopySender.create(UsageSettings.defaults(), "vm1.a", ledger);

  @Test
  void recordIsDurableOnlyOnceBothPeersHaveIt() {
    sender.setPeers(ImmutableSet.of("vm2", "vm3"));
    long sequence = ledger.record(0, KEY, UsageAmounts.ZERO);

    sender.onAck("vm2", sequence);
    assertThat(sender.durableSequence(2)).isEqualTo(0);
    sender.onAck("vm3", sequence);

    assertThat(sender.durableSequence(2)).isEqualTo(sequence);
  }

  @Test
  void recordInTheTableServiceIsDurableWithoutPeers() {
    long sequence = ledger.record(0, KEY, UsageAmounts.ZERO);

    sender.onFlushed(sequence);

    assertThat(sender.durableSequence(2)).isEqualTo(sequence);
  }
}
