package io.briarward.standins.reports;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class ReportStandInTest {
  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  private TestClient reports;

  @BeforeEach
  void start() {
    reports = standIns.start(StandIns.Name.REPORTS);
  }

  @Test
  void repeatedReportWithSameFiguresIsAccepted() {
    assertThat(report("{\"n\":1}", 1)).isEqualTo(201);
    assertThat(report("{\"n\":1}", 1)).isEqualTo(200);
  }

  @Test
  void differentFiguresAreRejectedAndCounted() {
    report("{\"n\":1}", 1);

    assertThat(report("{\"n\":2}", 1)).isEqualTo(409);
    assertThat(reports.counter("differentFigures")).isEqualTo(1);
  }

  @Test
  void reportWithStaleFencingNumberIsCounted() {
    report("{\"n\":1}", 2);
    report("{\"n\":1}", 1);

    assertThat(reports.counter("staleFencingNumbers")).isEqualTo(1);
  }

  private int report(String figures, int fencingNumber) {
    return reports
        .send(
            "PUT",
            "/v1/reports/mill/60000",
            figures,
            "Fencing-Number",
            Integer.toString(fencingNumber))
        .status();
  }
}
