package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.BaseEncoding;

/**
 * One item of a batch.
 *
 * @param id unique to the item; the same id may come again in a later batch
 * @param group the items of a group share their prompt
 * @param path the path of the request that runs the item
 * @param headers the headers of that request
 * @param bodyBase64 the body of that request
 * @param expectedTokens the caller's estimate of the generated tokens, which is often far off; 0 if
 *     it gave none
 */
public record BatchItem(
    String id,
    String group,
    String path,
    ImmutableMap<String, String> headers,
    String bodyBase64,
    int expectedTokens) {

  /**
   * Checks the fields.
   *
   * @throws IllegalArgumentException if the body is not Base64
   */
  public BatchItem {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(group, "group");
    checkArgument(path.startsWith("/"), "path is %s, expected a leading slash", path);
    checkNotNull(headers, "headers");
    checkArgument(BaseEncoding.base64().canDecode(bodyBase64), "body of %s is not Base64", id);
    checkArgument(expectedTokens >= 0, "expectedTokens is %s, expected >= 0", expectedTokens);
  }

  /** Returns the decoded body. */
  public byte[] body() {
    return BaseEncoding.base64().decode(bodyBase64);
  }
}
