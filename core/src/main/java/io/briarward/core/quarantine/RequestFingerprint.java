package io.briarward.core.quarantine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.briarward.core.memory.ByteBlocks;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Identifies requests of the same content, whichever node receives them and whatever their id.
 *
 * @param hex 32 hexadecimal digits
 */
public record RequestFingerprint(String hex) {
  private static final int HEX_DIGITS = 32;

  /** Validates the components. */
  public RequestFingerprint {
    checkArgument(hex.length() == HEX_DIGITS, "hex is %s, expected %s digits", hex, HEX_DIGITS);
  }

  /**
   * Returns the fingerprint of a request.
   *
   * @param organisation the organisation that sent it; empty on an open route
   * @param uri the path and query
   */
  public static RequestFingerprint of(
      Optional<String> organisation, String method, String host, String uri, byte[] body) {
    return of(organisation, method, host, uri, ByteBlocks.copyOf(body));
  }

  /** Returns the fingerprint of a request whose body is in blocks, which are not copied. */
  public static RequestFingerprint of(
      Optional<String> organisation, String method, String host, String uri, ByteBlocks body) {
    Hasher hasher = Hashing.sha256().newHasher();
    putText(hasher, organisation.orElse(""));
    putText(hasher, method);
    putText(hasher, host);
    putText(hasher, uri);
    for (int i = 0; i < body.blockCount(); i++) {
      hasher.putBytes(body.block(i), 0, body.bytesIn(i));
    }
    return new RequestFingerprint(hasher.hash().toString().substring(0, HEX_DIGITS));
  }

  /** Adds a text with its length, so that no two sequences of texts give the same bytes. */
  private static void putText(Hasher hasher, String text) {
    byte[] bytes = checkNotNull(text, "text").getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }

  @Override
  public String toString() {
    return hex;
  }
}
