package io.briarward.node.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
  /** Writes an object if none has the key, and returns whether this call wrote it. */
  Single<Boolean> putIfAbsent(String key, Buffer bytes);

  /** Returns the content of an object, or empty if it does not exist. */
  Single<Optional<Buffer>> get(String key);

  /** Deletes an object if it exists. */
  Completable delete(String key);
}
