package io.briarward.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ShareAllocatorTest {
  private static final Share QUOTA = new Share(90, 18);

  private final ShareAllocator allocator = new ShareAllocator();

  @Test
  void outdatedReportIsIgnored() {
    grant("n1", 8, new Share(50, 10), Share.ZERO);
    assertThat(grant("n1", 7, new Share(50, 10), Share.ZERO)).isEmpty();
  }

  @Test
  void contendedLimitIsDividedEqually() {
    grant("n1", 1, new Share(200, 40), Share.ZERO);
    grant("n2", 1, new Share(200, 40), Share.ZERO);
    allocator.grant("n1", report(2, new Share(200, 40), new Share(90, 18)), QUOTA, true, 1_000);
    allocator.grant("n1", report(3, new Share(200, 40), new Share(45, 9)), QUOTA, true, 2_000);
    Optional<Share> second =
        allocator.grant("n2", report(2, new Share(200, 40), Share.ZERO), QUOTA, true, 3_000);
    assertThat(second).hasValue(new Share(45, 9));
  }

  @Test
  void newCoordinatorGrantsNoMoreThanHeld() {
    Optional<Share> share =
        allocator.grant("n1", report(1, new Share(50, 10), new Share(20, 4)), QUOTA, false, 0);
    assertThat(share).hasValue(new Share(20, 4));
  }

  private Optional<Share> grant(String node, long sequence, Share demand, Share held) {
    return allocator.grant(node, report(sequence, demand, held), QUOTA, true, 0);
  }

  private static ShareReport report(long sequence, Share demand, Share held) {
    return new ShareReport(new Limit("mill", new Share(100, 20)), sequence, demand, held);
  }
}
