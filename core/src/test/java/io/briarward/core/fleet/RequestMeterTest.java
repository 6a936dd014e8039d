package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RequestMeterTest {
  private final RequestMeter meter = new RequestMeter();

  @Test
  void ratesAreThoseOfEachService() {
    meter.onRequest("orders", 0);
    meter.onRequest("orders", 0);
    meter.onRequest("quotes", 0);
    assertThat(meter.perSecond("orders", 0)).isWithin(1e-9).of(1);
    assertThat(meter.perSecond("quotes", 0)).isWithin(1e-9).of(0.5);
    assertThat(meter.perSecond("others", 0)).isEqualTo(0);
  }

  @Test
  void steadyArrivalsGiveTheirRate() {
    for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 100) {
      meter.onRequest("orders", nowMillis);
    }
    assertThat(meter.perSecond("orders", 20_000)).isWithin(0.5).of(10);
  }

  @Test
  void olderRequestsCountLess() {
    meter.onRequest("orders", 0);
    assertThat(meter.perSecond("orders", 2_000)).isWithin(0.01).of(0.18);
    assertThat(meter.perSecond("orders", 20_000)).isLessThan(0.001);
  }
}
