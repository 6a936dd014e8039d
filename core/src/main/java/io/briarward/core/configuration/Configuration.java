package io.briarward.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * The complete configuration submitted by operators, validated as a whole on creation.
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
   * Validates that ids are unique and that every reference between the lists refers to an existing
   * entry. Replaces a {@code null} list with an empty one.
   *
   * @throws InvalidConfigurationException if a check fails, with the path of the first offending
   *     field
   */
  public Configuration {
    dataCentres = nullToEmpty(dataCentres);
    partners = nullToEmpty(partners);
    organisations = nullToEmpty(organisations);
    keys = nullToEmpty(keys);
    services = nullToEmpty(services);
    routes = nullToEmpty(routes);
    rolloutPolicies = nullToEmpty(rolloutPolicies);
    capacityTargets = nullToEmpty(capacityTargets);
    checkUnique(keys, "keys", ApiKey::id);
    checkUnique(keys, "keys", ApiKey::sha256);
    checkUnique(rolloutPolicies, "rolloutPolicies", RolloutPolicy::id);
    checkUnique(routes, "routes", route -> route.host() + route.pathPrefix());
    Set<String> partnerIds = checkUnique(partners, "partners", Partner::id);
    checkReferences(organisations, "organisations", "partner", Organisation::partner, partnerIds);
    Set<String> serviceIds = checkUnique(services, "services", Service::id);
    checkReferences(routes, "routes", "service", Route::service, serviceIds);
    checkReferences(
        rolloutPolicies, "rolloutPolicies", "service", RolloutPolicy::service, serviceIds);
    checkReferences(
        capacityTargets, "capacityTargets", "service", CapacityTarget::service, serviceIds);
    Set<String> organisationIds = checkUnique(organisations, "organisations", Organisation::id);
    checkReferences(keys, "keys", "organisation", ApiKey::organisation, organisationIds);
    checkOpenOrganisations(routes, organisationIds);
    Set<String> dataCentreIds = checkUnique(dataCentres, "dataCentres", id -> Checks.id(id, "id"));
    checkReferences(
        capacityTargets,
        "capacityTargets",
        "dataCentre",
        CapacityTarget::dataCentre,
        dataCentreIds);
    checkUpstreams(services, dataCentreIds);
  }

  /** Returns the empty configuration. */
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

  /** Returns a copy without the key; equal to this configuration if there is no such key. */
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

  private static <T> ImmutableList<T> nullToEmpty(ImmutableList<T> list) {
    return list == null ? ImmutableList.of() : list;
  }

  private static <T> ImmutableSet<String> checkUnique(
      List<T> list, String path, Function<T, String> idOf) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      String id = idOf.apply(list.get(i));
      Checks.check(seen.add(id), path + "[" + i + "]", id, "a unique value");
    }
    return ImmutableSet.copyOf(seen);
  }

  private static <T> void checkReferences(
      List<T> list, String path, String field, Function<T, String> referenceOf, Set<String> ids) {
    for (int i = 0; i < list.size(); i++) {
      String id = referenceOf.apply(list.get(i));
      Checks.check(ids.contains(id), path + "[" + i + "]." + field, id, "one of " + ids);
    }
  }

  private static void checkOpenOrganisations(List<Route> routes, Set<String> organisationIds) {
    for (int i = 0; i < routes.size(); i++) {
      Optional<String> id = routes.get(i).openOrganisation();
      Checks.check(
          id.isEmpty() || organisationIds.contains(id.get()),
          "routes[" + i + "].openOrganisation",
          id,
          "one of " + organisationIds);
    }
  }

  private static void checkUpstreams(List<Service> services, Set<String> dataCentreIds) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < services.size(); i++) {
      ImmutableList<Upstream> upstreams = services.get(i).upstreams();
      for (int j = 0; j < upstreams.size(); j++) {
        Upstream upstream = upstreams.get(j);
        String path = "services[" + i + "].upstreams[" + j + "].";
        Checks.check(seen.add(upstream.id()), path + "id", upstream.id(), "a unique id");
        Checks.check(
            dataCentreIds.contains(upstream.dataCentre()),
            path + "dataCentre",
            upstream.dataCentre(),
            "one of " + dataCentreIds);
      }
    }
  }
}
