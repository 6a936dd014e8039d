package io.briarward.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Everything operators decide, checked as a whole when it is created.
 *
 * <p>Immutable and thread-safe. Example: {@code ConfigurationCodec.parse(json).organisations()}.
 */
public record Configuration(
    ImmutableList<String> dataCentres,
    ImmutableList<Partner> partners,
    ImmutableList<Organisation> organisations,
    ImmutableList<ApiKey> keys,
    ImmutableList<Service> services,
    ImmutableList<Route> routes,
    ImmutableList<RolloutPolicy> rolloutPolicies,
    ImmutableList<CapacityTarget> capacityTargets) {

  /**
   * Checks every reference between the parts.
   *
   * @throws InvalidConfigurationException naming the path of the first offending field
   */
  public Configuration {
    dataCentres = orEmpty(dataCentres);
    partners = orEmpty(partners);
    organisations = orEmpty(organisations);
    keys = orEmpty(keys);
    services = orEmpty(services);
    routes = orEmpty(routes);
    rolloutPolicies = orEmpty(rolloutPolicies);
    capacityTargets = orEmpty(capacityTargets);
    unique(keys, "keys", ApiKey::id);
    unique(keys, "keys", ApiKey::sha256);
    unique(rolloutPolicies, "rolloutPolicies", RolloutPolicy::id);
    unique(routes, "routes", route -> route.host() + route.pathPrefix());
    Set<String> partnerIds = unique(partners, "partners", Partner::id);
    refer(organisations, "organisations", "partner", Organisation::partner, partnerIds);
    Set<String> serviceIds = unique(services, "services", Service::id);
    refer(routes, "routes", "service", Route::service, serviceIds);
    refer(rolloutPolicies, "rolloutPolicies", "service", RolloutPolicy::service, serviceIds);
    refer(capacityTargets, "capacityTargets", "service", CapacityTarget::service, serviceIds);
    Set<String> organisationIds = unique(organisations, "organisations", Organisation::id);
    refer(keys, "keys", "organisation", ApiKey::organisation, organisationIds);
    checkOpenRoutes(routes, organisationIds);
    Set<String> centres = unique(dataCentres, "dataCentres", id -> Checks.id(id, "id"));
    refer(capacityTargets, "capacityTargets", "dataCentre", CapacityTarget::dataCentre, centres);
    checkUpstreams(services, centres);
  }

  /** Returns the configuration that holds nothing. */
  public static Configuration empty() {
    return new Configuration(
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of());
  }

  /** Returns the service with the given id. */
  public Optional<Service> service(String id) {
    return services.stream().filter(service -> service.id().equals(id)).findFirst();
  }

  /** Returns the organisation with the given id. */
  public Optional<Organisation> organisation(String id) {
    return organisations.stream().filter(each -> each.id().equals(id)).findFirst();
  }

  /** Returns the rollout policy with the given id. */
  public Optional<RolloutPolicy> rolloutPolicy(String id) {
    return rolloutPolicies.stream().filter(policy -> policy.id().equals(id)).findFirst();
  }

  /** Returns a copy without the key, or this configuration when it holds no such key. */
  public Configuration withoutKey(String keyId) {
    ImmutableList<ApiKey> kept =
        keys.stream()
            .filter(key -> !key.id().equals(keyId))
            .collect(ImmutableList.toImmutableList());
    return new Configuration(
        dataCentres,
        partners,
        organisations,
        kept,
        services,
        routes,
        rolloutPolicies,
        capacityTargets);
  }

  private static <T> ImmutableList<T> orEmpty(ImmutableList<T> list) {
    return list == null ? ImmutableList.of() : list;
  }

  private static <T> ImmutableSet<String> unique(
      List<T> list, String path, Function<T, String> idOf) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      String id = idOf.apply(list.get(i));
      Checks.check(seen.add(id), path + "[" + i + "]", id, "a value used once");
    }
    return ImmutableSet.copyOf(seen);
  }

  private static <T> void refer(
      List<T> list, String path, String field, Function<T, String> referenceOf, Set<String> ids) {
    for (int i = 0; i < list.size(); i++) {
      String id = referenceOf.apply(list.get(i));
      Checks.check(ids.contains(id), path + "[" + i + "]." + field, id, "one of " + ids);
    }
  }

  private static void checkOpenRoutes(List<Route> routes, Set<String> organisationIds) {
    for (int i = 0; i < routes.size(); i++) {
      Optional<String> id = routes.get(i).openOrganisation();
      Checks.check(
          id.isEmpty() || organisationIds.contains(id.get()),
          "routes[" + i + "].openOrganisation",
          id,
          "one of " + organisationIds);
    }
  }

  private static void checkUpstreams(List<Service> services, Set<String> centres) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < services.size(); i++) {
      ImmutableList<Upstream> upstreams = services.get(i).upstreams();
      for (int j = 0; j < upstreams.size(); j++) {
        Upstream upstream = upstreams.get(j);
        String path = "services[" + i + "].upstreams[" + j + "].";
        Checks.check(seen.add(upstream.id()), path + "id", upstream.id(), "an id used once");
        Checks.check(
            centres.contains(upstream.dataCentre()),
            path + "dataCentre",
            upstream.dataCentre(),
            "one of " + centres);
      }
    }
  }
}
