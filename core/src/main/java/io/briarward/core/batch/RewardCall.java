package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.io.BaseEncoding;
import io.briarward.core.forwarding.HeadValues;

/**
 * The request that scores the complete text of an item.
 *
 * @param id the id of the request
 * @param host the host name that selects the request's route
 * @param path the path that selects the request's route
 * @param bodyBase64 the body of the request in Base64
 */
public record RewardCall(String id, String host, String path, String bodyBase64) {
  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the body is not Base64, or if the id, the host or the path
   *     cannot stand in the head of a request
   */
  public RewardCall {
    checkArgument(HeadValues.isId(id), "id of a reward call cannot be sent");
    checkArgument(HeadValues.isHost(host), "host of %s cannot be sent", id);
    checkArgument(HeadValues.isTarget(path), "path of %s cannot be sent", id);
    checkArgument(BaseEncoding.base64().canDecode(bodyBase64), "body of %s is not Base64", id);
  }

  /** Returns the decoded body. */
  public byte[] body() {
    return BaseEncoding.base64().decode(bodyBase64);
  }
}
