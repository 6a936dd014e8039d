package io.briarward.node.operate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CharMatcher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.InvalidConfigurationException;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.forwarding.HeaderRules;
import io.briarward.node.NodeContext;
import io.briarward.node.configuration.VersionedConfiguration;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.platform.JsonHttpClient;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The operators' HTTP interface: configuration, keys and status.
 *
 * <p>Confined to the event loop.
 */
public final class OperatorApi {
  private static final long MAX_CONFIGURATION_BYTES = 8 << 20;
  private static final String KEYS_PREFIX = "/v1/keys/";
  private static final String WITHDRAW_SUFFIX = "/withdraw";

  private final NodeContext context;
  private final Supplier<ObjectNode> status;

  private OperatorApi(NodeContext context, Supplier<ObjectNode> status) {
    this.context = context;
    this.status = status;
  }

  /** Returns the interface of a node whose status {@code status} supplies. */
  public static OperatorApi create(NodeContext context, Supplier<ObjectNode> status) {
    return new OperatorApi(context, status);
  }

  /** Authenticates a request and responds to it. */
  public void handle(HttpServerRequest request) {
    request.pause();
    try {
      authenticate(request);
      var unused =
          route(request)
              .subscribe(
                  body -> HttpAnswers.json(request, 200, body),
                  error -> HttpAnswers.problem(request, toReportedError(error)));
    } catch (FailureException e) {
      HttpAnswers.problem(request, e);
    }
  }

  private void authenticate(HttpServerRequest request) {
    String secret =
        Optional.ofNullable(request.getHeader("Authorization"))
            .flatMap(HeaderRules::bearerSecret)
            .orElseThrow(() -> rejected(ErrorKind.MISSING_KEY, "an operator's token is needed"));
    byte[] given =
        Hashing.sha256()
            .hashString(secret, StandardCharsets.UTF_8)
            .toString()
            .getBytes(StandardCharsets.US_ASCII);
    byte[] expected = context.settings().operatorTokenSha256().getBytes(StandardCharsets.US_ASCII);
    if (!MessageDigest.isEqual(given, expected)) {
      throw rejected(ErrorKind.UNKNOWN_KEY, "the operator's token is wrong");
    }
  }

  private Single<? extends JsonNode> route(HttpServerRequest request) {
    String path = request.path();
    HttpMethod method = request.method();
    if (path.equals("/v1/configuration") && method.equals(HttpMethod.GET)) {
      return context.configurationStore().read().map(OperatorApi::toJson);
    }
    if (path.equals("/v1/configuration") && method.equals(HttpMethod.PUT)) {
      return replaceConfiguration(request);
    }
    boolean isWithdrawal = path.startsWith(KEYS_PREFIX) && path.endsWith(WITHDRAW_SUFFIX);
    if (isWithdrawal && method.equals(HttpMethod.POST)) {
      return withdrawKey(
          path.substring(KEYS_PREFIX.length(), path.length() - WITHDRAW_SUFFIX.length()));
    }
    if (path.equals("/v1/status") && method.equals(HttpMethod.GET)) {
      return Single.just(status.get());
    }
    throw rejected(ErrorKind.NOT_FOUND, method + " " + path + " does not exist");
  }

  private Single<ObjectNode> replaceConfiguration(HttpServerRequest request) {
    long expectedVersion = expectedVersion(request);
    return context
        .bodies()
        .read(request, MAX_CONFIGURATION_BYTES)
        .map(Buffer::toString)
        .map(ConfigurationCodec::parse)
        .flatMap(next -> context.configurationStore().replace(next, expectedVersion))
        .map(this::adopt);
  }

  private static long expectedVersion(HttpServerRequest request) {
    String tag = Optional.ofNullable(request.getHeader("If-Match")).orElse("");
    Long version = Longs.tryParse(CharMatcher.is('"').trimFrom(tag));
    if (version == null || version < 0) {
      throw rejected(
          ErrorKind.MALFORMED_REQUEST, "If-Match is " + tag + ", expected the current version");
    }
    return version;
  }

  private Single<ObjectNode> withdrawKey(String keyId) {
    return context
        .configurationStore()
        .read()
        .flatMap(
            current -> {
              Configuration without = current.configuration().withoutKey(keyId);
              if (without.equals(current.configuration())) {
                throw rejected(ErrorKind.NOT_FOUND, "no key " + keyId);
              }
              return context.configurationStore().replace(without, current.version());
            })
        .map(this::adopt);
  }

  private ObjectNode adopt(VersionedConfiguration accepted) {
    context.configuration().update(accepted);
    return JsonNodeFactory.instance.objectNode().put("version", accepted.version());
  }

  private static ObjectNode toJson(VersionedConfiguration current) {
    ObjectNode node = JsonNodeFactory.instance.objectNode().put("version", current.version());
    node.set(
        "configuration",
        JsonHttpClient.parse(Buffer.buffer(ConfigurationCodec.print(current.configuration()))));
    return node;
  }

  private static Throwable toReportedError(Throwable error) {
    return error instanceof InvalidConfigurationException invalid
        ? rejected(ErrorKind.INVALID_CONFIGURATION, invalid.getMessage())
        : error;
  }

  private static FailureException rejected(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
