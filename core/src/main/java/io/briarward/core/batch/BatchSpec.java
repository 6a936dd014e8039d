package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A batch as a caller submits it.
 *
 * @param id the id chosen by the caller; a repeated submission has the same id
 * @param model the model whose weights generate the results, empty for any
 * @param minVersion the oldest weight version that may generate a result, 0 for any
 * @param targetGroups the number of complete groups that the caller waits for, 0 for all
 */
public record BatchSpec(
    String id,
    Optional<String> model,
    long minVersion,
    int targetGroups,
    ImmutableList<BatchItem> items) {

  /** Validates the components. */
  public BatchSpec {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(model, "model");
    checkArgument(minVersion >= 0, "minVersion is %s, expected >= 0", minVersion);
    checkArgument(targetGroups >= 0, "targetGroups is %s, expected >= 0", targetGroups);
    checkArgument(!items.isEmpty(), "items is empty");
    long ids = items.stream().map(BatchItem::id).distinct().count();
    checkArgument(ids == items.size(), "items repeat an id");
  }

  /**
   * Returns whether the caller gets what it waits for if only some items ever run: as many complete
   * groups as it waits for or, if it names no number of groups, any item.
   *
   * @param canRun whether an item can run
   */
  public boolean isUseful(Predicate<BatchItem> canRun) {
    if (targetGroups == 0) {
      return items.stream().anyMatch(canRun);
    }
    Set<String> groups = new HashSet<>();
    Set<String> incompleteGroups = new HashSet<>();
    for (BatchItem item : items) {
      groups.add(item.group());
      if (!canRun.test(item)) {
        incompleteGroups.add(item.group());
      }
    }
    return incompleteGroups.isEmpty() || groups.size() - incompleteGroups.size() >= targetGroups;
  }

  /** Returns the item with the given id, or empty if there is none. */
  public Optional<BatchItem> item(String itemId) {
    return items.stream().filter(item -> item.id().equals(itemId)).findFirst();
  }
}
