package io.briarward.operator.examples;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Configuration;
import io.briarward.operator.ConfigurationBuilder;
import io.briarward.operator.ServiceBuilder;

/** An example configuration of Vatuwaqa Tube Works Research, with a second partner. */
public final class TubeMill {
  /** The id of the model service. */
  public static final String MODEL_SERVICE = "recipe-llm";

  /** The id of the plain service. */
  public static final String PLAIN_SERVICE = "order-desk";

  /** The id of the rollout policy. */
  public static final String ROLLOUT_POLICY = "winding-tension";

  /** The secret of the trainer's API key. */
  public static final String TRAINER_SECRET = "tube-mill-trainer-secret";

  /** The id of the organisation that trains. */
  public static final String TRAINER = "winding-research";

  /**
   * The ids of the organisations that send live requests, in the order of the configuration.
   *
   * <p>The first two have a higher weight and higher limits than the others.
   */
  public static final ImmutableList<String> CALLERS =
      ImmutableList.of(
          "lautoka-mill",
          "nadi-mill",
          "ba-mill",
          "tavua-mill",
          "rakiraki-mill",
          "sigatoka-mill",
          "kitamon-guest");

  private static final String HOST = "127.0.0.1";
  private static final int FIRST_SAMPLER_PORT = 21_101;
  private static final int FIRST_DESK_PORT = 21_201;
  private static final int SAMPLER_COUNT = 6;
  private static final int DESK_COUNT = 3;
  private static final int LARGE_CALLER_COUNT = 2;
  private static final int MAX_ORDERED_UPSTREAMS_PER_DATA_CENTRE = 2;
  private static final ImmutableList<String> DATA_CENTRES =
      ImmutableList.of("lautoka", "nadi", "ba");

  private TubeMill() {}

  /** Returns the secret of a calling organisation's API key. */
  public static String callerSecret(String organisation) {
    return organisation + "-caller-secret";
  }

  /** Returns the example configuration. */
  public static Configuration configuration() {
    ConfigurationBuilder builder = ConfigurationBuilder.create();
    DATA_CENTRES.forEach(builder::dataCentre);
    builder.partner("vatuwaqa", partner -> partner.reclaimableShare(0.5));
    builder.partner("kitamon", partner -> partner.reclaimableShare(0.25));
    addTrainer(builder);
    CALLERS.forEach(organisation -> addCaller(builder, organisation));
    builder.modelService(MODEL_SERVICE, TubeMill::addSamplers);
    builder.plainService(PLAIN_SERVICE, TubeMill::addOrderDesks);
    addRoutes(builder);
    builder.rolloutPolicy(
        ROLLOUT_POLICY,
        policy ->
            policy
                .service(MODEL_SERVICE)
                .maxStalenessVersions(1)
                .timeoutMillis(60_000)
                .extraAttemptShare(0.1));
    for (String dataCentre : DATA_CENTRES) {
      builder.capacityTarget(
          MODEL_SERVICE, dataCentre, target -> target.max(MAX_ORDERED_UPSTREAMS_PER_DATA_CENTRE));
    }
    return builder.build();
  }

  private static void addTrainer(ConfigurationBuilder builder) {
    builder.organisation(
        TRAINER,
        trainer -> trainer.partner("vatuwaqa").weight(8).requestsPerSecond(500).maxConcurrent(256));
    builder.key(
        "tube-mill-trainer",
        key -> key.organisation(TRAINER).secret(TRAINER_SECRET).mayTrain().mayCall());
  }

  private static void addCaller(ConfigurationBuilder builder, String id) {
    boolean large = CALLERS.indexOf(id) < LARGE_CALLER_COUNT;
    String partner = id.startsWith("kitamon") ? "kitamon" : "vatuwaqa";
    builder.organisation(
        id,
        organisation ->
            organisation
                .partner(partner)
                .weight(large ? 4 : 1)
                .requestsPerSecond(large ? 200 : 50)
                .maxConcurrent(large ? 64 : 16));
    builder.key(id + "-caller", key -> key.organisation(id).secret(callerSecret(id)).mayCall());
  }

  private static void addSamplers(ServiceBuilder service) {
    for (int i = 0; i < SAMPLER_COUNT; i++) {
      int number = i;
      service.upstream(
          "sampler-" + (number + 1),
          upstream ->
              upstream
                  .dataCentre(dataCentre(number))
                  .address(HOST, FIRST_SAMPLER_PORT + number)
                  .maxConcurrent(16));
    }
  }

  private static void addOrderDesks(ServiceBuilder service) {
    for (int i = 0; i < DESK_COUNT; i++) {
      int number = i;
      service.upstream(
          "order-desk-" + (number + 1),
          upstream ->
              upstream
                  .dataCentre(dataCentre(number))
                  .address(HOST, FIRST_DESK_PORT + number)
                  .ignoresFencing()
                  .maxConcurrent(64));
    }
  }

  private static void addRoutes(ConfigurationBuilder builder) {
    builder.route(
        "/v1/completions", route -> route.to(MODEL_SERVICE).timeoutMillis(30_000).weight(4));
    builder.route("/orders", route -> route.to(PLAIN_SERVICE).timeoutMillis(2_000));
  }

  private static String dataCentre(int number) {
    return DATA_CENTRES.get(number % DATA_CENTRES.size());
  }
}
