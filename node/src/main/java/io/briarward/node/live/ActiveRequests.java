package io.briarward.node.live;

import com.google.common.collect.ImmutableList;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.LinkedHashSet;
import java.util.Set;

/** The live requests that run on this node. Confined to the event loop. */
public final class ActiveRequests {
  private final Set<LiveExchange> running = new LinkedHashSet<>();
  private CompletableSubject idle = CompletableSubject.create();

  private ActiveRequests() {}

  /** Returns a registry without requests. */
  public static ActiveRequests create() {
    return new ActiveRequests();
  }

  /** Returns how many requests run. */
  public int count() {
    return running.size();
  }

  /** Completes once no request runs. */
  public Completable whenIdle() {
    return running.isEmpty() ? Completable.complete() : idle;
  }

  /** Ends every request whose key is no longer granted. */
  void cutOffWithdrawn(ServingTables tables) {
    ImmutableList.copyOf(running).forEach(exchange -> exchange.cutOffUnlessGranted(tables));
  }

  /** Ends every request that needs a key, when this node cannot tell which keys are withdrawn. */
  public void cutOffKeyed() {
    ImmutableList.copyOf(running).forEach(LiveExchange::cutOffIfKeyed);
  }

  /** Ends every request, when waiting for them has lasted too long. */
  public void cutOffAll() {
    ImmutableList.copyOf(running).forEach(LiveExchange::cutOffForStop);
  }

  void add(LiveExchange exchange) {
    running.add(exchange);
  }

  void remove(LiveExchange exchange) {
    running.remove(exchange);
    if (running.isEmpty()) {
      CompletableSubject waiting = idle;
      idle = CompletableSubject.create();
      waiting.onComplete();
    }
  }
}
