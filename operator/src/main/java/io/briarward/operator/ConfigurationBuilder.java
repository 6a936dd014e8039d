package io.briarward.operator;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.CapacityTarget;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A builder of configurations that validates each part when it is added.
 *
 * <p>A part may refer only to parts that were added before it. Every method that adds a part throws
 * {@link io.briarward.core.configuration.InvalidConfigurationException} with the path of the
 * invalid field, such as {@code services[0].upstreams[2].port}, and leaves the builder unchanged.
 * Not thread-safe. Example:
 *
 * <pre>{@code
 * String json =
 *     ConfigurationBuilder.create()
 *         .dataCentre("lautoka")
 *         .partner("vatuwaqa", partner -> partner.reclaimableShare(0.4))
 *         .organisation("mill", mill -> mill.partner("vatuwaqa").weight(4))
 *         .print();
 * }</pre>
 */
public final class ConfigurationBuilder {
  private final List<String> dataCentres = new ArrayList<>();
  private final List<Partner> partners = new ArrayList<>();
  private final List<Organisation> organisations = new ArrayList<>();
  private final List<ApiKey> keys = new ArrayList<>();
  private final List<Service> services = new ArrayList<>();
  private final List<Route> routes = new ArrayList<>();
  private final List<RolloutPolicy> rolloutPolicies = new ArrayList<>();
  private final List<CapacityTarget> capacityTargets = new ArrayList<>();

  private ConfigurationBuilder() {}

  /** Returns a builder without parts. */
  public static ConfigurationBuilder create() {
    return new ConfigurationBuilder();
  }

  /** Adds a data centre with the given id. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder dataCentre(String id) {
    return add("dataCentres", dataCentres, () -> id);
  }

  /** Adds a partner with the given id. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder partner(String id, Consumer<PartnerBuilder> details) {
    PartnerBuilder partner = new PartnerBuilder(id);
    details.accept(partner);
    return add("partners", partners, partner::build);
  }

  /** Adds an organisation, which belongs to a partner. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder organisation(String id, Consumer<OrganisationBuilder> details) {
    OrganisationBuilder organisation = new OrganisationBuilder(id);
    details.accept(organisation);
    return add("organisations", organisations, organisation::build);
  }

  /** Adds an API key, which belongs to an organisation. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder key(String id, Consumer<KeyBuilder> details) {
    KeyBuilder key = new KeyBuilder(id);
    details.accept(key);
    return add("keys", keys, key::build);
  }

  /** Adds a service whose upstreams are model engines. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder modelService(String id, Consumer<ServiceBuilder> details) {
    return service(new ServiceBuilder(id, Service.Kind.MODEL), details);
  }

  /** Adds a service whose upstreams are plain HTTP services. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder plainService(String id, Consumer<ServiceBuilder> details) {
    return service(new ServiceBuilder(id, Service.Kind.PLAIN), details);
  }

  /** Adds a route from the path prefix to a service, for any host unless the details set one. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder route(String pathPrefix, Consumer<RouteBuilder> details) {
    RouteBuilder route = new RouteBuilder(pathPrefix);
    details.accept(route);
    return add("routes", routes, route::build);
  }

  /** Adds a rollout policy of a model service. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder rolloutPolicy(String id, Consumer<RolloutPolicyBuilder> details) {
    RolloutPolicyBuilder policy = new RolloutPolicyBuilder(id);
    details.accept(policy);
    return add("rolloutPolicies", rolloutPolicies, policy::build);
  }

  /** Adds limits on the number of ordered upstreams of a service in a data centre. */
  @CanIgnoreReturnValue
  public ConfigurationBuilder capacityTarget(
      String service, String dataCentre, Consumer<CapacityTargetBuilder> details) {
    CapacityTargetBuilder target = new CapacityTargetBuilder(service, dataCentre);
    details.accept(target);
    return add("capacityTargets", capacityTargets, target::build);
  }

  /** Returns a configuration with the parts added so far. */
  public Configuration build() {
    return new Configuration(
        ImmutableList.copyOf(dataCentres),
        ImmutableList.copyOf(partners),
        ImmutableList.copyOf(organisations),
        ImmutableList.copyOf(keys),
        ImmutableList.copyOf(services),
        ImmutableList.copyOf(routes),
        ImmutableList.copyOf(rolloutPolicies),
        ImmutableList.copyOf(capacityTargets));
  }

  /** Returns the configuration as the JSON that operators submit. */
  public String print() {
    return ConfigurationCodec.print(build());
  }

  @CanIgnoreReturnValue
  private ConfigurationBuilder service(ServiceBuilder service, Consumer<ServiceBuilder> details) {
    String path = "services[" + services.size() + "]";
    FieldPath.within(
        path,
        () -> {
          details.accept(service);
          return service;
        });
    return add("services", services, service::build);
  }

  /** Adds a part, and removes it again if it makes the configuration invalid. */
  @CanIgnoreReturnValue
  private <T> ConfigurationBuilder add(String path, List<T> parts, Supplier<T> part) {
    int index = parts.size();
    parts.add(FieldPath.within(path + "[" + index + "]", part));
    boolean valid = false;
    try {
      build();
      valid = true;
    } finally {
      if (!valid) {
        parts.remove(index);
      }
    }
    return this;
  }
}
