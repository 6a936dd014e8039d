package io.briarward.node.gateway;

import io.briarward.core.lease.LeaseGuard;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** The lease under which the parts of a duty send orders and reports. */
interface SendPermission {
  /**
   * Returns the guard of the lease, or empty if no send may start now.
   *
   * <p>Call this method immediately before each send.
   */
  Optional<LeaseGuard> guard();

  /** Returns {@code call} with the time-out of calls under the lease. */
  <T> Single<T> withTimeout(Single<T> call);
}
