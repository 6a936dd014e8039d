package io.briarward.standins.table;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.standins.StandIns;
import io.briarward.standins.testing.StandInExtension;
import io.briarward.standins.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class TableStandInTest {
  private static final String INSERT =
      "{\"conditions\":[{\"table\":\"t\",\"key\":\"a/b\",\"version\":0}],"
          + "\"writes\":[{\"table\":\"t\",\"key\":\"a/b\",\"value\":{\"x\":1}}]}";

  @RegisterExtension final StandInExtension standIns = new StandInExtension();

  @Test
  void keyWithSlashIsReadByItsEncodedName() {
    TestClient table = standIns.start(StandIns.Name.TABLE);

    table.send("POST", "/v1/transactions", INSERT);

    assertThat(table.get("/v1/tables/t/rows/a%2Fb").at("/value/x").asInt()).isEqualTo(1);
  }

  @Test
  void failedConditionReturnsTheCurrentRow() {
    TestClient table = standIns.start(StandIns.Name.TABLE);
    table.send("POST", "/v1/transactions", INSERT);

    TestClient.Reply second = table.send("POST", "/v1/transactions", INSERT);

    assertThat(second.status()).isEqualTo(409);
    assertThat(second.json().at("/conflicts/0/value/x").asInt()).isEqualTo(1);
  }

  @Test
  void scanReturnsTheRowsWithThePrefix() {
    TestClient table = standIns.start(StandIns.Name.TABLE);
    table.send("POST", "/v1/transactions", INSERT);

    assertThat(table.get("/v1/tables/t/rows?prefix=a%2F").path("rows")).hasSize(1);
    assertThat(table.get("/v1/tables/t/rows?prefix=b").path("rows")).isEmpty();
    assertThat(table.get("/v1/tables/t/rows?prefix=b").path("truncated").asBoolean(true)).isFalse();
  }

  @Test
  void writesAboveTheRateAreRejected() {
    TestClient table = standIns.start(StandIns.Name.TABLE, "writesPerSecond", "1");
    table.send("POST", "/v1/transactions", INSERT);

    assertThat(table.send("POST", "/v1/transactions", INSERT).status()).isEqualTo(429);
    standIns.advance(table, 1_000);
    assertThat(table.send("POST", "/v1/transactions", INSERT).status()).isEqualTo(409);
  }
}
