package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the bodies of items whose batches other processes run.
 *
 * <p>Callers may ask for items of many large submissions at once. One submission is read at a time,
 * once for all callers that wait for it, and it is searched without being decoded as a whole, so
 * the memory does not grow with the number of callers. Confined to the event loop.
 */
final class SubmissionReader {
  /** Callers read the items of a submission one after another. */
  private static final int MAX_CACHED_SUBMISSIONS = 4;

  /** Several times the size of most submissions. */
  private static final int MAX_CACHED_BYTES = 1 << 20;

  /** Reading as many submissions takes less than a caller waits. */
  private static final int MAX_WAITING_SUBMISSIONS = 16;

  /** By then some submissions have been read. */
  private static final long RETRY_AFTER_MILLIS = 500;

  private final BatchStore store;
  private final BatchDecoder decoder;
  private final Cache<String, Buffer> submissions =
      CacheBuilder.newBuilder().maximumSize(MAX_CACHED_SUBMISSIONS).build();

  /** The submissions to read, in the order in which callers asked for them. */
  private final Map<String, Reading> waiting = new LinkedHashMap<>();

  private boolean reading;

  SubmissionReader(BatchStore store, BatchDecoder decoder) {
    this.store = checkNotNull(store, "store");
    this.decoder = checkNotNull(decoder, "decoder");
  }

  /** The items of one submission that callers wait for. */
  private record Reading(
      BatchHead head, Map<String, SingleSubject<Optional<byte[]>>> bodyByItemId) {}

  /**
   * Returns the body of an item, or empty if the submission is missing or has no such item.
   *
   * <p>Fails if the store does not respond or if too many submissions wait to be read.
   */
  Single<Optional<byte[]>> itemBody(BatchHead head, String itemId) {
    Buffer cached = submissions.getIfPresent(head.id());
    if (cached != null) {
      return Single.fromCallable(
          () ->
              Optional.ofNullable(decoder.itemBodies(cached, ImmutableSet.of(itemId)).get(itemId)));
    }
    if (!waiting.containsKey(head.id()) && waiting.size() >= MAX_WAITING_SUBMISSIONS) {
      return Single.error(
          Failure.notRun(
                  ErrorKind.BODIES_TOO_LARGE,
                  "too many submissions wait to be read",
                  RETRY_AFTER_MILLIS)
              .toException());
    }
    Single<Optional<byte[]>> body =
        waiting
            .computeIfAbsent(head.id(), unused -> new Reading(head, new HashMap<>()))
            .bodyByItemId()
            .computeIfAbsent(itemId, unused -> SingleSubject.create());
    readNext();
    return body;
  }

  private void readNext() {
    if (reading || waiting.isEmpty()) {
      return;
    }
    reading = true;
    Reading next = waiting.values().iterator().next();
    var unused =
        store
            .submissionBytes(next.head())
            .map(found -> found.map(bytes -> search(next, bytes)).orElse(ImmutableMap.of()))
            .subscribe(
                bodies -> {
                  end(next);
                  next.bodyByItemId()
                      .forEach((id, body) -> body.onSuccess(Optional.ofNullable(bodies.get(id))));
                },
                error -> {
                  end(next);
                  next.bodyByItemId().values().forEach(body -> body.onError(error));
                });
  }

  private ImmutableMap<String, byte[]> search(Reading ended, Buffer bytes) {
    if (bytes.length() <= MAX_CACHED_BYTES) {
      submissions.put(ended.head().id(), bytes);
    }
    return decoder.itemBodies(bytes, ended.bodyByItemId().keySet());
  }

  /** Lets the next submission be read; callers that ask from now on start a new reading. */
  private void end(Reading ended) {
    waiting.remove(ended.head().id());
    reading = false;
    readNext();
  }
}
