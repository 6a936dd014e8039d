package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Digest;
import io.briarward.core.membership.ListedVm;
import io.briarward.core.membership.Member;
import io.briarward.core.membership.Membership;
import io.briarward.core.membership.MembershipMessage;
import io.briarward.core.membership.OutgoingMessage;
import io.briarward.core.platform.Row;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The control state machine of one node: its membership view, its configuration and the freshness
 * of that configuration.
 *
 * <p>Two VMs of each data centre read the head row of the store once per second. Every probe and
 * answer carries the sender's version; a node that is behind fetches the missing versions from that
 * peer, and a node that installs a new version immediately announces it to a few other nodes.
 * Answers also carry the age of the sender's evidence that the store held no later version; a node
 * whose evidence becomes old probes a reader of its data centre. See {@link #evidenceAtMillis}.
 *
 * <p>Times are in milliseconds of a monotonic clock. Not thread-safe: all calls must come from one
 * thread.
 */
public final class ControlNode {
  private static final int READERS_PER_DATA_CENTRE = 2;
  private static final int ANNOUNCEMENT_RECEIVERS = 4;
  private static final long HEAD_READ_INTERVAL_MILLIS = 1_000;
  private static final long READ_TIMEOUT_MILLIS = 2_000;
  private static final long FETCH_TIMEOUT_MILLIS = 500;
  private static final long REFRESH_AGE_MILLIS = 1_000;
  private static final long REFRESH_INTERVAL_MILLIS = 500;

  private final String dataCentre;
  private final String vmId;
  private final long startedAtMillis;
  private final Membership membership;
  private final ConfigurationReplica replica = new ConfigurationReplica();
  private OptionalLong evidenceAtMillis = OptionalLong.empty();
  private long highestSeenVersion = Digest.NO_VERSION;
  private OptionalLong readStartedAtMillis = OptionalLong.empty();
  private OptionalLong lastHeadReadMillis = OptionalLong.empty();
  private OptionalLong lastRefreshMillis = OptionalLong.empty();
  private int readerIndex;
  private OptionalLong fetchStartedAtMillis = OptionalLong.empty();
  private ImmutableList<String> readers = ImmutableList.of();
  private boolean settled;

  private ControlNode(String vmId, String dataCentre, Membership membership, long startedAtMillis) {
    this.startedAtMillis = startedAtMillis;
    this.vmId = vmId;
    this.dataCentre = dataCentre;
    this.membership = membership;
  }

  /**
   * Creates a node that knows no other VM and no configuration yet.
   *
   * @param startedAtMillis the current time
   */
  public static ControlNode create(
      String vmId, String dataCentre, Membership membership, long startedAtMillis) {
    checkNotNull(vmId, "vmId");
    checkNotNull(dataCentre, "dataCentre");
    checkNotNull(membership, "membership");
    return new ControlNode(vmId, dataCentre, membership, startedAtMillis);
  }

  /** Sets the platform's list of VMs. */
  public void setListed(ImmutableList<ListedVm> vms) {
    membership.setListed(vms);
    selectReaders();
  }

  /** Returns the actions that are due. Call this once per probe interval. */
  public ImmutableList<ControlAction> tick(long nowMillis) {
    settled = isSettled(nowMillis);
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    addMessages(actions, membership.tick(nowMillis, digest(nowMillis)));
    if (canRead(nowMillis) && isDue(lastHeadReadMillis, HEAD_READ_INTERVAL_MILLIS, nowMillis)) {
      selectReaders();
      lastHeadReadMillis = OptionalLong.of(nowMillis);
      if (readers.contains(vmId) || replica.held().isEmpty()) {
        actions.add(read(StoreRead.head(), nowMillis));
      }
    }
    refreshEvidence(nowMillis, actions);
    return actions.build();
  }

  /** Handles a membership message from another VM. */
  public ImmutableList<ControlAction> onMembership(
      String from, MembershipMessage message, long nowMillis) {
    OptionalLong sentAtMillis = membership.sentAtMillis(message);
    List<OutgoingMessage> out = membership.receive(from, message, nowMillis, digest(nowMillis));
    if (sentAtMillis.isPresent()) {
      applyEvidence(message.digest(), sentAtMillis.getAsLong());
    }
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    addMessages(actions, out);
    fetchIfBehind(from, message.digest(), nowMillis, actions);
    return actions.build();
  }

  /** Handles a configuration message from another VM. */
  public ImmutableList<ControlAction> onConfiguration(
      String from, ConfigurationMessage message, long nowMillis) {
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    if (message.kind() == ConfigurationMessage.Kind.REQUEST) {
      actions.add(contentFor(from, message.afterVersion(), nowMillis));
    }
    if (message.kind() == ConfigurationMessage.Kind.CONTENT) {
      fetchStartedAtMillis = OptionalLong.empty();
      if (installContent(message)) {
        announce(nowMillis, actions);
      }
    }
    fetchIfBehind(from, message.digest(), nowMillis, actions);
    return actions.build();
  }

  /**
   * Handles the result of a read of the store.
   *
   * @param rows the rows in order of their keys, empty if there are none
   * @param startedAtMillis when the read was sent
   */
  public ImmutableList<ControlAction> onStoreAnswer(
      StoreRead read, ImmutableList<Row> rows, long startedAtMillis, long nowMillis) {
    readStartedAtMillis = OptionalLong.empty();
    long before = replica.version();
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    switch (read.kind()) {
      case HEAD -> onHead(rows, startedAtMillis, nowMillis, actions);
      case LOG -> onLog(read, rows, nowMillis, actions);
      case SNAPSHOT -> onSnapshot(read, rows, nowMillis, actions);
      default -> throw new AssertionError(read.kind());
    }
    if (replica.version() > before) {
      announce(nowMillis, actions);
    }
    return actions.build();
  }

  /** Records that a read of the store failed. The next read is sent when it is due. */
  public void onStoreFailure() {
    readStartedAtMillis = OptionalLong.empty();
  }

  /**
   * Installs a version that this node's own transaction created.
   *
   * @param sentAtMillis when the transaction was sent
   */
  public ImmutableList<ControlAction> onAccepted(
      ConfigurationDelta delta, long sentAtMillis, long nowMillis) {
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    boolean installed = replica.install(ImmutableList.of(delta));
    recordVersion(delta.version());
    if (replica.version() >= delta.version()) {
      recordEvidence(sentAtMillis);
    }
    if (installed) {
      announce(nowMillis, actions);
    }
    return actions.build();
  }

  /** Probes a sample of the VMs, to determine quickly whether a majority holds a version. */
  public ImmutableList<ControlAction> probeSample(long nowMillis) {
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    addMessages(actions, membership.probeSample(nowMillis, digest(nowMillis)));
    return actions.build();
  }

  /** Marks this node as leaving and announces it to other VMs. */
  public ImmutableList<ControlAction> leave(long nowMillis) {
    ImmutableList.Builder<ControlAction> actions = ImmutableList.builder();
    addMessages(actions, membership.leave(nowMillis, digest(nowMillis)));
    return actions.build();
  }

  /** Returns the configuration that this node serves from, empty until one is installed. */
  public Optional<ConfigurationDocument> held() {
    return replica.held();
  }

  /**
   * Returns a time at which the store held no later version than this node holds now.
   *
   * <p>The time derives from when a strongly consistent read or a probe was sent, never from when
   * its answer arrived, so network delays cannot make it too late. Empty until the first evidence.
   */
  public OptionalLong evidenceAtMillis() {
    return evidenceAtMillis;
  }

  /**
   * Returns whether this process has learned the current version since it started.
   *
   * <p>This is the case once there is evidence that the store held no later version at a time after
   * the start, or once a majority of the VMs, all settled, answered and this node has seen no later
   * version. Until then the node must not serve.
   */
  public boolean isSettled(long nowMillis) {
    if (settled || replica.held().isEmpty()) {
      return settled;
    }
    boolean sawStore =
        evidenceAtMillis.isPresent() && evidenceAtMillis.getAsLong() > startedAtMillis;
    return sawStore || (!isBehind() && hasMajority(nowMillis));
  }

  /** Returns whether a later version than this node's is known to exist. */
  public boolean isBehind() {
    return replica.version() < highestSeenVersion;
  }

  /** Returns whether a majority of the VMs are settled and answered recently. */
  public boolean hasMajority(long nowMillis) {
    return hasMajorityWith(ConfigurationDocument.EMPTY_VERSION, nowMillis);
  }

  /**
   * Returns whether a majority of the VMs are settled, answered recently and hold {@code version}
   * or a later one.
   */
  public boolean hasMajorityWith(long version, long nowMillis) {
    return membership.probeHistory().hasMajority(nowMillis, held -> held >= version);
  }

  /** Returns the other VMs. */
  public ImmutableList<Member> members() {
    return membership.members();
  }

  private Digest digest(long nowMillis) {
    Optional<Long> ageMillis =
        evidenceAtMillis.isPresent()
            ? Optional.of(Math.max(0, nowMillis - evidenceAtMillis.getAsLong()))
            : Optional.empty();
    return new Digest(replica.version(), ageMillis, settled);
  }

  /**
   * Probes a reader of this data centre if regular probes have not renewed the evidence in time.
   */
  private void refreshEvidence(long nowMillis, ImmutableList.Builder<ControlAction> actions) {
    boolean isRefreshDue =
        !readers.contains(vmId)
            && !readers.isEmpty()
            && isDue(evidenceAtMillis, REFRESH_AGE_MILLIS, nowMillis)
            && isDue(lastRefreshMillis, REFRESH_INTERVAL_MILLIS, nowMillis);
    if (isRefreshDue) {
      lastRefreshMillis = OptionalLong.of(nowMillis);
      readerIndex = (readerIndex + 1) % readers.size();
      OutgoingMessage probe =
          membership.probe(readers.get(readerIndex), nowMillis, digest(nowMillis));
      actions.add(new ControlAction.SendMembership(probe.vmId(), probe.message()));
    }
  }

  private void applyEvidence(Digest digest, long sentAtMillis) {
    if (digest.evidenceAgeMillis().isPresent() && digest.version() <= replica.version()) {
      recordEvidence(sentAtMillis - digest.evidenceAgeMillis().get());
    }
  }

  private void recordEvidence(long atMillis) {
    long known = evidenceAtMillis.orElse(atMillis);
    evidenceAtMillis = OptionalLong.of(Math.max(known, atMillis));
  }

  private void recordVersion(long version) {
    highestSeenVersion = Math.max(highestSeenVersion, version);
  }

  private void fetchIfBehind(
      String from, Digest digest, long nowMillis, ImmutableList.Builder<ControlAction> actions) {
    recordVersion(digest.version());
    boolean due = isDue(fetchStartedAtMillis, FETCH_TIMEOUT_MILLIS, nowMillis);
    if (digest.version() > replica.version() && due) {
      fetchStartedAtMillis = OptionalLong.of(nowMillis);
      ConfigurationMessage request =
          ConfigurationMessage.request(digest(nowMillis), replica.version());
      actions.add(new ControlAction.SendConfiguration(from, request));
    }
  }

  private ControlAction contentFor(String to, long afterVersion, long nowMillis) {
    Optional<ImmutableList<ConfigurationDelta>> deltas = replica.deltasAfter(afterVersion);
    Optional<ConfigurationMessage.WholeDocument> whole =
        deltas.isPresent() ? Optional.empty() : replica.held().map(ControlNode::toWhole);
    ConfigurationMessage content =
        ConfigurationMessage.content(digest(nowMillis), deltas.orElse(ImmutableList.of()), whole);
    return new ControlAction.SendConfiguration(to, content);
  }

  private static ConfigurationMessage.WholeDocument toWhole(ConfigurationDocument document) {
    return new ConfigurationMessage.WholeDocument(
        document.version(), document.json(), document.checksum());
  }

  private boolean installContent(ConfigurationMessage message) {
    boolean installed =
        message
            .whole()
            .filter(whole -> whole.version() > replica.version())
            .flatMap(
                whole ->
                    ConfigurationDocument.parse(whole.version(), whole.json(), whole.checksum()))
            .filter(replica::install)
            .isPresent();
    return replica.install(message.deltas()) || installed;
  }

  private void announce(long nowMillis, ImmutableList.Builder<ControlAction> actions) {
    ConfigurationMessage announcement = ConfigurationMessage.announcement(digest(nowMillis));
    for (String other : membership.pick(ANNOUNCEMENT_RECEIVERS)) {
      actions.add(new ControlAction.SendConfiguration(other, announcement));
    }
  }

  private void onHead(
      ImmutableList<Row> rows,
      long startedAtMillis,
      long nowMillis,
      ImmutableList.Builder<ControlAction> actions) {
    if (rows.isEmpty()) {
      replica.install(ConfigurationDocument.empty());
      recordEvidence(startedAtMillis);
      return;
    }
    StoreLayout.Head head = StoreLayout.head(rows.get(0));
    recordVersion(head.version());
    if (head.version() <= replica.version()) {
      recordEvidence(startedAtMillis);
      return;
    }
    boolean logReachesReplica = replica.version() >= head.snapshotVersion();
    boolean logStartsAtEmptyVersion = head.snapshotVersion() == ConfigurationDocument.EMPTY_VERSION;
    if (logStartsAtEmptyVersion) {
      replica.install(ConfigurationDocument.empty());
    }
    actions.add(
        logReachesReplica || logStartsAtEmptyVersion
            ? read(StoreRead.logAfter(replica.version()), nowMillis)
            : read(StoreRead.snapshot(head.snapshotVersion()), nowMillis));
  }

  private void onLog(
      StoreRead read,
      ImmutableList<Row> rows,
      long nowMillis,
      ImmutableList.Builder<ControlAction> actions) {
    replica.install(rows.stream().map(row -> StoreLayout.logEntry(row).delta()).toList());
    if (replica.version() > read.version() && isBehind()) {
      actions.add(read(StoreRead.logAfter(replica.version()), nowMillis));
    }
  }

  private void onSnapshot(
      StoreRead read,
      ImmutableList<Row> rows,
      long nowMillis,
      ImmutableList.Builder<ControlAction> actions) {
    if (rows.isEmpty()) {
      return;
    }
    StoreLayout.Snapshot snapshot = StoreLayout.snapshot(rows.get(0));
    ConfigurationDocument.parse(read.version(), snapshot.json(), snapshot.checksum())
        .filter(replica::install)
        .ifPresent(
            document -> actions.add(read(StoreRead.logAfter(document.version()), nowMillis)));
  }

  private ControlAction read(StoreRead read, long nowMillis) {
    readStartedAtMillis = OptionalLong.of(nowMillis);
    return new ControlAction.ReadStore(read);
  }

  private boolean canRead(long nowMillis) {
    return isDue(readStartedAtMillis, READ_TIMEOUT_MILLIS, nowMillis);
  }

  private void selectReaders() {
    readers =
        ReaderSelection.select(vmId, dataCentre, membership.members(), READERS_PER_DATA_CENTRE);
  }

  private static boolean isDue(OptionalLong lastMillis, long intervalMillis, long nowMillis) {
    return lastMillis.isEmpty() || nowMillis - lastMillis.getAsLong() >= intervalMillis;
  }

  private static void addMessages(
      ImmutableList.Builder<ControlAction> actions, List<OutgoingMessage> out) {
    out.forEach(each -> actions.add(new ControlAction.SendMembership(each.vmId(), each.message())));
  }
}
