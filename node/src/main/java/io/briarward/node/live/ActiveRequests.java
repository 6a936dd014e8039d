package io.briarward.node.live;

import com.google.common.collect.ImmutableList;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import java.util.LinkedHashSet;
import java.util.Set;

/** The live requests in flight on this node. Confined to the event loop. */
public final class ActiveRequests {
  private final Set<LiveExchange> running = new LinkedHashSet<>();
  private CompletableSubject idle = CompletableSubject.create();

  private ActiveRequests() {}

  /** Creates an empty registry. */
  public static ActiveRequests create() {
    return new ActiveRequests();
  }

  /** Returns the number of requests in flight. */
  public int count() {
    return running.size();
  }

  /** Completes once no request is in flight. */
  public Completable whenIdle() {
    return running.isEmpty() ? Completable.complete() : idle;
  }

  /** Aborts every request whose key is no longer granted. */
  void abortWithdrawn(ServingTables tables) {
    ImmutableList.copyOf(running).forEach(exchange -> exchange.abortUnlessGranted(tables));
  }

  /**
   * Aborts every request that was authorised by a key.
   *
   * <p>Call this method when this node cannot tell which keys have been withdrawn.
   */
  public void abortKeyed() {
    ImmutableList.copyOf(running).forEach(LiveExchange::abortIfKeyed);
  }

  /** Aborts every request because the node stops. */
  public void abortAll() {
    ImmutableList.copyOf(running).forEach(LiveExchange::abortForStop);
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
