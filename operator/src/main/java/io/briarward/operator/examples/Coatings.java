package io.briarward.operator.examples;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Configuration;
import io.briarward.operator.ConfigurationBuilder;
import io.briarward.operator.ServiceBuilder;

/** An example configuration of Kitamon Coatings, whose certificate lookups need no key. */
public final class Coatings {
  /** The id of the model service. */
  public static final String MODEL_SERVICE = "drafter-llm";

  /** The id of the plain service. */
  public static final String PLAIN_SERVICE = "cert-portal";

  /** The id of the rollout policy. */
  public static final String ROLLOUT_POLICY = "house-style";

  /** The secret of the trainer's API key. */
  public static final String TRAINER_SECRET = "coatings-trainer-secret";

  /** The id of the organisation that requests without a key are billed to. */
  public static final String PUBLIC_ORGANISATION = "public-lookups";

  /** The ids of the organisations that call with a key, in the order of the configuration. */
  public static final ImmutableList<String> CALLERS =
      ImmutableList.of(
          "tomakomai-house",
          "asahikawa-house",
          "kushiro-house",
          "muroran-shipyard",
          "port-contractors",
          "hull-inspectors");

  private static final String TRAINER = "drafting-research";
  private static final String PARTNER = "kitamon";
  private static final String HOST = "127.0.0.1";
  private static final int FIRST_SAMPLER_PORT = 22_101;
  private static final int FIRST_PORTAL_PORT = 22_201;
  private static final int SAMPLER_COUNT = 8;
  private static final int RECLAIMABLE_SAMPLER_COUNT = 2;
  private static final int PORTAL_COUNT = 3;
  private static final int LARGE_CALLER_COUNT = 2;
  private static final int MAX_ORDERED_UPSTREAMS_PER_DATA_CENTRE = 2;
  private static final ImmutableList<String> DATA_CENTRES =
      ImmutableList.of("tomakomai", "asahikawa", "kushiro");

  private Coatings() {}

  /** Returns the secret of a calling organisation's API key. */
  public static String callerSecret(String organisation) {
    return organisation + "-caller-secret";
  }

  /** Returns the example configuration. */
  public static Configuration configuration() {
    ConfigurationBuilder builder = ConfigurationBuilder.create();
    DATA_CENTRES.forEach(builder::dataCentre);
    builder.partner(PARTNER, partner -> partner.reclaimableShare(0.3));
    addTrainer(builder);
    CALLERS.forEach(organisation -> addCaller(builder, organisation));
    builder.organisation(
        PUBLIC_ORGANISATION,
        organisation -> organisation.partner(PARTNER).weight(2).requestsPerSecond(300));
    builder.modelService(MODEL_SERVICE, Coatings::addSamplers);
    builder.plainService(PLAIN_SERVICE, Coatings::addPortals);
    addRoutes(builder);
    builder.rolloutPolicy(
        ROLLOUT_POLICY,
        policy ->
            policy
                .service(MODEL_SERVICE)
                .maxStalenessVersions(2)
                .timeoutMillis(120_000)
                .extraAttemptShare(0.05));
    for (String dataCentre : DATA_CENTRES) {
      builder.capacityTarget(
          MODEL_SERVICE, dataCentre, target -> target.max(MAX_ORDERED_UPSTREAMS_PER_DATA_CENTRE));
    }
    return builder.build();
  }

  private static void addTrainer(ConfigurationBuilder builder) {
    builder.organisation(
        TRAINER,
        trainer -> trainer.partner(PARTNER).weight(4).requestsPerSecond(300).maxConcurrent(192));
    builder.key(
        "coatings-trainer",
        key -> key.organisation(TRAINER).secret(TRAINER_SECRET).mayTrain().mayCall());
  }

  private static void addCaller(ConfigurationBuilder builder, String id) {
    boolean large = CALLERS.indexOf(id) < LARGE_CALLER_COUNT;
    builder.organisation(
        id,
        organisation ->
            organisation
                .partner(PARTNER)
                .weight(large ? 6 : 1)
                .requestsPerSecond(large ? 300 : 60)
                .maxConcurrent(large ? 96 : 24));
    builder.key(id + "-caller", key -> key.organisation(id).secret(callerSecret(id)).mayCall());
  }

  private static void addSamplers(ServiceBuilder service) {
    for (int i = 0; i < SAMPLER_COUNT; i++) {
      int number = i;
      service.upstream(
          "sampler-" + (number + 1),
          upstream -> {
            upstream
                .dataCentre(dataCentre(number))
                .address(HOST, FIRST_SAMPLER_PORT + number)
                .maxConcurrent(16);
            if (number >= SAMPLER_COUNT - RECLAIMABLE_SAMPLER_COUNT) {
              upstream.reclaimable();
            }
          });
    }
  }

  private static void addPortals(ServiceBuilder service) {
    for (int i = 0; i < PORTAL_COUNT; i++) {
      int number = i;
      service.upstream(
          "cert-portal-" + (number + 1),
          upstream ->
              upstream
                  .dataCentre(dataCentre(number))
                  .address(HOST, FIRST_PORTAL_PORT + number)
                  .ignoresFencing()
                  .maxConcurrent(64));
    }
  }

  private static void addRoutes(ConfigurationBuilder builder) {
    builder.route(
        "/v1/completions", route -> route.to(MODEL_SERVICE).timeoutMillis(60_000).weight(4));
    builder.route("/portal", route -> route.to(PLAIN_SERVICE).timeoutMillis(3_000));
    builder.route(
        "/certificates",
        route ->
            route.to(PLAIN_SERVICE).openFor(PUBLIC_ORGANISATION).idempotent().timeoutMillis(2_000));
  }

  private static String dataCentre(int number) {
    return DATA_CENTRES.get(number % DATA_CENTRES.size());
  }
}
