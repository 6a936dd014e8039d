package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * The key of a usage counter.
 *
 * @param organisation the id of the billed organisation
 * @param service the id of the service that ran the work
 * @param kind the kind of work, for instance {@code completion}
 */
public record UsageKey(String organisation, String service, String kind)
    implements Comparable<UsageKey> {
  private static final Comparator<UsageKey> ORDER =
      Comparator.comparing(UsageKey::organisation)
          .thenComparing(UsageKey::service)
          .thenComparing(UsageKey::kind);

  /** Checks the fields. */
  public UsageKey {
    checkArgument(!organisation.isEmpty(), "organisation is empty");
    checkArgument(!service.isEmpty(), "service is empty");
    checkArgument(!kind.isEmpty(), "kind is empty");
  }

  @Override
  public int compareTo(UsageKey other) {
    return ORDER.compare(this, other);
  }
}
