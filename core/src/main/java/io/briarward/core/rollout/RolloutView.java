package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.core.weights.AnnouncedVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A node's view of a rollout's rows, from which it builds the next transactions.
 *
 * <p>Outcomes and deliveries are two sequences of rows without gaps. A writer inserts a row only if
 * it is absent, and only after reading all rows before it. The deliveries up to any cursor are
 * therefore the same for every node, and no group appears in two deliveries. A delivery also
 * requires that the announced weights are unchanged, so that its groups are within the staleness
 * bound when it is committed.
 *
 * <p>A view may be out of date; a transaction that is based on outdated rows conflicts. Not
 * thread-safe.
 */
public final class RolloutView {
  private static final int MAX_GROUPS_PER_DELIVERY = 256;
  private static final long MAX_TOKENS_PER_DELIVERY = 500_000;

  private final RolloutKey key;
  private final List<Outcome> outcomes = new ArrayList<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<Integer, Delivery.Place> recorded = new HashMap<>();
  private final Set<Integer> delivered = new HashSet<>();
  private RolloutHeader header;
  private long headerVersion;
  private AnnouncedVersion announced = AnnouncedVersion.fromRow(Optional.empty());

  private RolloutView(RolloutKey key, Row headerRow) {
    this.key = key;
    updateHeader(headerRow);
  }

  /** Returns a view that contains only the header. */
  public static RolloutView create(RolloutKey key, Row headerRow) {
    return new RolloutView(checkNotNull(key, "key"), headerRow);
  }

  /** Updates the header unless the view has a newer row. */
  public void updateHeader(Row headerRow) {
    if (headerRow.version() > headerVersion) {
      header = RolloutHeader.fromRow(headerRow);
      headerVersion = headerRow.version();
    }
  }

  /** Updates the announced weight version unless the view has a newer row. */
  public void updateAnnounced(Optional<Row> weightsRow) {
    AnnouncedVersion read = AnnouncedVersion.fromRow(weightsRow);
    if (read.rowVersion() > announced.rowVersion()) {
      announced = read;
    }
  }

  /** Adds outcomes in order, skipping those already in the view. */
  public void addOutcomes(List<Row> rows) {
    for (Row row : rows) {
      if (isNext(row, outcomes.size())) {
        addOutcome(RolloutCodec.fromTree(row.value(), Outcome.class));
      }
    }
  }

  /** Adds deliveries in order, skipping those already in the view. */
  public void addDeliveries(List<Row> rows) {
    for (Row row : rows) {
      if (isNext(row, deliveries.size())) {
        addDelivery(RolloutCodec.fromTree(row.value(), Delivery.class));
      }
    }
  }

  /** Returns the key of the rollout. */
  public RolloutKey key() {
    return key;
  }

  /** Returns the header. */
  public RolloutHeader header() {
    return header;
  }

  /** Returns the announced weight version. */
  public long announcedVersion() {
    return announced.version();
  }

  /** Returns the row key after which to scan for new outcomes; empty if the view has none. */
  public String lastOutcomeKey() {
    return outcomes.isEmpty() ? "" : key.outcome(outcomes.size()).key();
  }

  /** Returns the row key after which to scan for new deliveries; empty if the view has none. */
  public String lastDeliveryKey() {
    return deliveries.isEmpty() ? "" : key.delivery(deliveries.size()).key();
  }

  /** Returns the delivery with the given cursor, or empty if the view does not contain it. */
  public Optional<Delivery> delivery(long cursor) {
    boolean known = cursor >= 1 && cursor <= deliveries.size();
    return known ? Optional.of(deliveries.get((int) cursor - 1)) : Optional.empty();
  }

  /** Returns whether an outcome with the given object key is recorded. */
  public boolean isRecorded(String object) {
    return outcomes.stream().anyMatch(outcome -> outcome.object().equals(object));
  }

  /** Returns the transaction that records {@code outcome} after the outcomes in the view. */
  public Transaction record(Outcome outcome) {
    RowKey next = key.outcome(outcomes.size() + 1L);
    return Transaction.builder()
        .requireVersion(key.header(), headerVersion)
        .requireAbsent(next)
        .put(next, RolloutCodec.toTree(outcome))
        .build();
  }

  /** Passes the announced version and the recorded and delivered groups to a planner. */
  public void updatePlanner(RolloutPlanner planner) {
    planner.onAnnounced(announced.version());
    recorded.values().forEach(place -> planner.onRecorded(place.index(), place.oldestVersion()));
    delivered.forEach(planner::onDelivered);
  }

  /**
   * Returns the next step for a trainer that has received the deliveries up to {@code cursor}.
   *
   * @param node the id of the calling node, stored in a delivery that it commits
   * @param nowMillis the current time, in milliseconds since the epoch
   */
  public DeliveryStep nextStep(long cursor, String node, long nowMillis) {
    checkArgument(cursor >= 0, "cursor is %s, expected >= 0", cursor);
    if (header.cancelled()) {
      return reject(ErrorKind.CANCELLED, "the rollout was cancelled");
    }
    if (cursor > deliveries.size()) {
      return reject(ErrorKind.MALFORMED_REQUEST, "after is " + cursor + ", which was never given");
    }
    if (cursor < deliveries.size()) {
      return serve(cursor + 1, deliveries.get((int) cursor));
    }
    if (delivered.size() == header.groups()) {
      return new DeliveryStep.Finished();
    }
    ImmutableList<Delivery.Place> selected = selectDeliverable();
    if (!selected.isEmpty()) {
      return commit(new Delivery(selected, node, nowMillis));
    }
    return nowMillis < header.dueAtMillis()
        ? new DeliveryStep.Wait()
        : reject(ErrorKind.DEADLINE_EXCEEDED, "the due time passed with groups missing");
  }

  private ImmutableList<Delivery.Place> selectDeliverable() {
    ImmutableList<Delivery.Place> candidates =
        recorded.values().stream()
            .filter(place -> !delivered.contains(place.index()))
            .filter(this::isFresh)
            .sorted(
                Comparator.comparingLong(Delivery.Place::oldestVersion)
                    .thenComparingInt(Delivery.Place::index))
            .limit(MAX_GROUPS_PER_DELIVERY)
            .collect(ImmutableList.toImmutableList());
    ImmutableList.Builder<Delivery.Place> chosen = ImmutableList.builder();
    long tokens = 0;
    for (Delivery.Place place : candidates) {
      if (tokens > 0 && tokens + place.tokens() > MAX_TOKENS_PER_DELIVERY) {
        break;
      }
      tokens += place.tokens();
      chosen.add(place);
    }
    return chosen.build();
  }

  private DeliveryStep commit(Delivery delivery) {
    long sequence = deliveries.size() + 1L;
    RowKey row = key.delivery(sequence);
    Transaction transaction =
        Transaction.builder()
            .requireVersion(key.header(), headerVersion)
            .requireVersion(AnnouncedVersion.key(header.service()), announced.rowVersion())
            .requireAbsent(row)
            .put(row, RolloutCodec.toTree(delivery))
            .build();
    boolean done = delivered.size() + delivery.groups().size() == header.groups();
    return new DeliveryStep.Commit(
        transaction, delivery, new DeliveryStep.Serve(sequence, done, entries(delivery)));
  }

  private DeliveryStep serve(long sequence, Delivery delivery) {
    boolean last = sequence == deliveries.size();
    boolean done = last && delivered.size() == header.groups();
    return new DeliveryStep.Serve(sequence, done, entries(delivery));
  }

  private ImmutableList<DeliveryStep.Entry> entries(Delivery delivery) {
    return delivery.groups().stream()
        .map(place -> new DeliveryStep.Entry(place, isFresh(place)))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isFresh(Delivery.Place place) {
    return header.bound().isFresh(place.oldestVersion(), announced.version());
  }

  private void addOutcome(Outcome outcome) {
    outcomes.add(outcome);
    for (int position = 0; position < outcome.groups().size(); position++) {
      Outcome.Group group = outcome.groups().get(position);
      Delivery.Place place =
          new Delivery.Place(
              group.index(),
              group.id(),
              group.oldestVersion(),
              group.tokens(),
              outcome.object(),
              position);
      recorded.merge(group.index(), place, RolloutView::withNewerTokens);
    }
  }

  private static Delivery.Place withNewerTokens(Delivery.Place first, Delivery.Place second) {
    return second.oldestVersion() > first.oldestVersion() ? second : first;
  }

  private void addDelivery(Delivery delivery) {
    deliveries.add(delivery);
    delivery.groups().forEach(place -> delivered.add(place.index()));
  }

  private static boolean isNext(Row row, int known) {
    return RolloutKey.sequence(row) == known + 1L;
  }

  private static DeliveryStep reject(ErrorKind kind, String detail) {
    return new DeliveryStep.Refused(Failure.unknown(kind, detail));
  }
}
