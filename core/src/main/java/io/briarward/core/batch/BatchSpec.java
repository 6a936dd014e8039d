package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What a caller submits.
 *
 * @param id chosen by the caller; a repeated submission has the same id
 * @param model the model whose weights generate the results, empty for any
 * @param minVersion the oldest version of the weights that may generate a result, 0 for any
 * @param targetGroups how many complete groups the trainer waits for, 0 when it waits for all
 */
public record BatchSpec(
    String id,
    Optional<String> model,
    long minVersion,
    int targetGroups,
    ImmutableList<BatchItem> items) {

  /** Checks the fields. */
  public BatchSpec {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(model, "model");
    checkArgument(minVersion >= 0, "minVersion is %s, expected >= 0", minVersion);
    checkArgument(targetGroups >= 0, "targetGroups is %s, expected >= 0", targetGroups);
    checkArgument(!items.isEmpty(), "items is empty");
    long ids = items.stream().map(BatchItem::id).distinct().count();
    checkArgument(ids == items.size(), "items repeat an id");
  }

  /** Returns the item with the id. */
  public Optional<BatchItem> item(String itemId) {
    return items.stream().filter(item -> item.id().equals(itemId)).findFirst();
  }
}
