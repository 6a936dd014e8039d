package io.briarward.node.gateway;

import io.briarward.core.lease.LeaseGuard;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;

/** What a part of a duty needs of the lease under which it sends. */
interface SendPermission {
  /** Returns the permission to send right now, to be asked for immediately before each send. */
  Optional<LeaseGuard> guard();

  /** Fails a call that takes longer than the lease leaves for it. */
  <T> Single<T> bounded(Single<T> call);
}
