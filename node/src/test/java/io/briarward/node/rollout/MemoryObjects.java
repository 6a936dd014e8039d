package io.briarward.node.rollout;

import io.briarward.node.platform.ObjectStore;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An in-memory object store. */
final class MemoryObjects implements ObjectStore {
  private final Map<String, Buffer> objects = new HashMap<>();

  @Override
  public Single<Boolean> putIfAbsent(String key, Buffer bytes) {
    return Single.fromCallable(() -> objects.putIfAbsent(key, bytes) == null);
  }

  @Override
  public Single<Optional<Buffer>> get(String key) {
    return Single.fromCallable(() -> Optional.ofNullable(objects.get(key)));
  }

  @Override
  public Completable delete(String key) {
    return Completable.fromAction(() -> objects.remove(key));
  }
}
