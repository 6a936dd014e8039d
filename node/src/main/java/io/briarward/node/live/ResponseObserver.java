package io.briarward.node.live;

import io.briarward.core.errors.RunState;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.buffer.Buffer;

/** Observes the response to a request while it is relayed to the caller. */
interface ResponseObserver {
  /** An observer that does nothing. */
  ResponseObserver NONE =
      new ResponseObserver() {
        @Override
        public void onChunk(Buffer chunk) {}

        @Override
        public Completable beforeLastChunk(int status) {
          return Completable.complete();
        }

        @Override
        public void onFailed(RunState runState) {}
      };

  /** Receives a chunk of the response body. */
  void onChunk(Buffer chunk);

  /** Returns a completable that completes when the last chunk may be sent to the caller. */
  Completable beforeLastChunk(int status);

  /** Notifies the observer that the request ended without a complete response. */
  void onFailed(RunState runState);
}
