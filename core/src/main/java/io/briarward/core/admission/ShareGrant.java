package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The answer of a limit's coordinator to a report.
 *
 * @param limitId the id of the limit
 * @param sequence the sequence number of the report that it answers
 * @param share what the node may use in addition to its floor; replaces its previous share
 */
public record ShareGrant(String limitId, long sequence, Share share) {
  /** Checks the fields. */
  public ShareGrant {
    checkNotNull(limitId, "limitId");
    checkNotNull(share, "share");
  }
}
