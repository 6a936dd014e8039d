package io.briarward.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ShareLeaseTest {
  private static final LimitUse USE = new LimitUse(new Share(50, 10), 0);

  private final ShareLease lease = new ShareLease(new Limit("mill", new Share(100, 20)));

  @Test
  void leaseStartsAtTheReportAndNotAtTheGrant() {
    lease.report("n1", USE, 7, 0);
    lease.onGrant(new ShareGrant("mill", 7, new Share(50, 10)), 20_000);
    assertThat(lease.held(ShareNegotiator.LEASE_MILLIS - 1)).isEqualTo(new Share(50, 10));
    assertThat(lease.held(ShareNegotiator.LEASE_MILLIS)).isEqualTo(Share.ZERO);
  }

  @Test
  void grantForAnEarlierReportIsIgnored() {
    lease.report("n1", USE, 7, 0);
    lease.report("n1", USE, 8, 1_000);
    assertThat(lease.onGrant(new ShareGrant("mill", 7, new Share(50, 10)), 1_100)).isFalse();
  }

  @Test
  void smallerShareIsReportedBeforeTheRefreshInterval() {
    lease.report("n1", USE, 7, 0);
    lease.onGrant(new ShareGrant("mill", 7, new Share(50, 10)), 10);
    lease.report("n1", USE, 8, 5_000);
    lease.onGrant(new ShareGrant("mill", 8, new Share(20, 5)), 5_010);
    LimitUse small = new LimitUse(new Share(20, 5), 0);
    assertThat(lease.isReportDue("n1", small, 5_300)).isTrue();
  }
}
