package io.briarward.node.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.UUID;

/** Reads and replaces the configuration in the table service. */
public final class ConfigurationStore {
  private static final RowKey HEAD = RowKey.of("configuration", "head");

  private final TableService tables;

  private ConfigurationStore(TableService tables) {
    this.tables = tables;
  }

  /** Returns a store on the given table service. */
  public static ConfigurationStore create(TableService tables) {
    return new ConfigurationStore(tables);
  }

  /** Reads the current configuration. */
  public Single<VersionedConfiguration> read() {
    return tables.read(HEAD).map(ConfigurationStore::parse);
  }

  /**
   * Replaces the configuration if {@code expectedVersion} is current.
   *
   * <p>Fails with {@link ErrorKind#VERSION_CONFLICT} naming the current version otherwise.
   */
  public Single<VersionedConfiguration> replace(Configuration configuration, long expectedVersion) {
    return tables
        .read(HEAD)
        .flatMap(
            row -> {
              VersionedConfiguration current = parse(row);
              if (current.version() != expectedVersion) {
                return Single.error(conflict(current.version()));
              }
              return commit(new VersionedConfiguration(expectedVersion + 1, configuration), row);
            });
  }

  private Single<VersionedConfiguration> commit(VersionedConfiguration next, Optional<Row> row) {
    String token = UUID.randomUUID().toString();
    Transaction transaction =
        Transaction.builder()
            .requireVersion(HEAD, row.map(Row::version).orElse(Transaction.ABSENT))
            .put(HEAD, print(next, token))
            .build();
    return tables
        .commit(transaction)
        .map(CommitResult::committed)
        .onErrorResumeNext(error -> readBack(token, error))
        .flatMap(
            committed ->
                committed
                    ? Single.just(next)
                    : read().flatMap(now -> Single.error(conflict(now.version()))));
  }

  private Single<Boolean> readBack(String token, Throwable error) {
    return tables
        .read(HEAD)
        .onErrorResumeNext(unused -> Single.error(error))
        .map(row -> row.filter(found -> token.equals(token(found))).isPresent());
  }

  private static String token(Row row) {
    return row.value().path("token").asText();
  }

  private static ObjectNode print(VersionedConfiguration next, String token) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", next.version())
        .put("token", token)
        .put("document", ConfigurationCodec.print(next.configuration()));
  }

  private static VersionedConfiguration parse(Optional<Row> row) {
    if (row.isEmpty()) {
      return VersionedConfiguration.initial();
    }
    JsonNode value = row.get().value();
    return new VersionedConfiguration(
        value.path("version").asLong(), ConfigurationCodec.parse(value.path("document").asText()));
  }

  private static Throwable conflict(long currentVersion) {
    String detail = "the current version is " + currentVersion;
    return Failure.notRun(ErrorKind.VERSION_CONFLICT, detail).toException();
  }
}
