package io.briarward.node.live;

import io.briarward.core.errors.RunState;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.buffer.Buffer;

/** Sees a request's answer as it passes, for requests whose answer is kept. */
interface AnswerObserver {
  /** Observes nothing. */
  AnswerObserver NONE =
      new AnswerObserver() {
        @Override
        public void chunk(Buffer chunk) {}

        @Override
        public Completable beforeLastByte(int status) {
          return Completable.complete();
        }

        @Override
        public void failed(RunState runState) {}
      };

  /** Takes a part of the answer's body. */
  void chunk(Buffer chunk);

  /** Completes when the last byte of the answer may go to the caller. */
  Completable beforeLastByte(int status);

  /** Takes note that no whole answer came. */
  void failed(RunState runState);
}
