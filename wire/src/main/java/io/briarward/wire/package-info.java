/**
 * The messages that nodes exchange, generated from {@code src/main/proto/peer.proto}.
 *
 * <p>Regenerate with {@code mvn -Pgenerate -pl wire compile} and commit the result.
 */
package io.briarward.wire;
