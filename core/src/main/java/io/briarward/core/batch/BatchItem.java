package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.BaseEncoding;
import io.briarward.core.forwarding.HeadValues;
import io.briarward.core.forwarding.HeaderRules;
import java.util.Optional;

/**
 * One item of a batch.
 *
 * @param id unique within the batch; a later batch may reuse it
 * @param group the item's group, whose items share a prompt
 * @param path the path of the request that runs the item
 * @param headers the headers of that request
 * @param bodyBase64 the body of that request in Base64
 * @param expectedTokens the caller's estimate of the number of generated tokens, which is often
 *     inaccurate; 0 if unknown
 * @param maxTokens the tokens of the prompt and of the longest output together; 0 if unknown
 * @param rewardCall the request that scores the item's text; empty if the text needs no score
 */
public record BatchItem(
    String id,
    String group,
    String path,
    ImmutableMap<String, String> headers,
    String bodyBase64,
    int expectedTokens,
    long maxTokens,
    Optional<RewardCall> rewardCall) {

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if the body is not Base64, or if the id, the path or a header
   *     cannot stand in the head of a request
   */
  public BatchItem {
    checkArgument(HeadValues.isId(id), "id of an item cannot be sent");
    checkNotNull(group, "group");
    checkArgument(HeadValues.isTarget(path), "path of %s cannot be sent", id);
    headers.forEach(
        (name, value) ->
            checkArgument(
                HeaderRules.mayForward(name)
                    && HeadValues.isFieldName(name)
                    && HeadValues.isFieldValue(value),
                "a header of %s cannot be sent",
                id));
    checkArgument(BaseEncoding.base64().canDecode(bodyBase64), "body of %s is not Base64", id);
    checkArgument(expectedTokens >= 0, "expectedTokens is %s, expected >= 0", expectedTokens);
    checkArgument(maxTokens >= 0, "maxTokens is %s, expected >= 0", maxTokens);
    checkNotNull(rewardCall, "rewardCall");
  }

  /** Creates an item of which the number of tokens is unknown. */
  public BatchItem(
      String id,
      String group,
      String path,
      ImmutableMap<String, String> headers,
      String bodyBase64,
      int expectedTokens,
      Optional<RewardCall> rewardCall) {
    this(id, group, path, headers, bodyBase64, expectedTokens, 0, rewardCall);
  }

  /** Creates an item whose text needs no score. */
  public BatchItem(
      String id,
      String group,
      String path,
      ImmutableMap<String, String> headers,
      String bodyBase64,
      int expectedTokens) {
    this(id, group, path, headers, bodyBase64, expectedTokens, Optional.empty());
  }

  /**
   * Returns whether a sampler without other runs takes the item.
   *
   * @param tokenCapacity the number of tokens that a sampler's memory holds, 0 if unknown
   */
  public boolean fits(long tokenCapacity) {
    return tokenCapacity == 0 || maxTokens <= tokenCapacity;
  }

  /** Returns the decoded body. */
  public byte[] body() {
    return BaseEncoding.base64().decode(bodyBase64);
  }
}
