package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/**
 * One node's view of the other VMs, kept by randomised probes in the manner of SWIM.
 *
 * <p>The node probes one VM per tick, asks others to probe it when no answer comes, and passes on
 * statements with its probes and answers, so that its cost does not depend on the number of VMs. A
 * suspect refutes by raising its incarnation. A node that was paused, or whose own probes mostly
 * fail, declares nobody dead; nor does any node while many VMs are suspect at once, as in a network
 * partition.
 *
 * <p>Times are milliseconds of a monotonic clock. Not thread-safe. Example:
 *
 * <pre>{@code
 * membership.setListed(vms);
 * membership.tick(nowMillis, digest).forEach(network::send);
 * membership.receive("vm-2", message, nowMillis, digest).forEach(network::send);
 * }</pre>
 */
public final class Membership {
  private static final int PAUSE_TICKS = 4;
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;
  private static final int GOODBYE_COPIES = 6;

  /** Of the VMs, the share that may be suspect at once while suspects are declared dead. */
  private static final double MAX_SUSPECT_SHARE = 0.05;

  /** A probe under way, for this node itself or on behalf of another. */
  private static final class Pending {
    final String target;
    final long sentAtMillis;
    final Optional<Requester> requester;
    final boolean drawn;
    boolean askedOthers;

    Pending(String target, long sentAtMillis, Optional<Requester> requester, boolean drawn) {
      this.target = target;
      this.sentAtMillis = sentAtMillis;
      this.requester = requester;
      this.drawn = drawn;
    }
  }

  private record Requester(String vmId, long sequence) {}

  private final String vmId;
  private final MembershipSettings settings;
  private final MemberTable table = new MemberTable();
  private final UpdateQueue queue = new UpdateQueue();
  private final LocalHealth health = new LocalHealth();
  private final ProbeSchedule schedule;
  private final Contacts contacts;
  private final Map<Long, Pending> pending = new HashMap<>();
  private OptionalLong lastTickMillis = OptionalLong.empty();
  private MemberState ownState = MemberState.ALIVE;
  private long incarnation;
  private long lastSequence;

  private Membership(String vmId, long incarnation, MembershipSettings settings, Random random) {
    this.vmId = vmId;
    this.incarnation = incarnation;
    this.settings = settings;
    this.schedule = new ProbeSchedule(random);
    this.contacts = Contacts.create(settings);
  }

  /**
   * Returns the view of a node that knows no other VM yet.
   *
   * @param incarnation above that of the VM's earlier processes, such as the start time
   */
  public static Membership create(
      String vmId, long incarnation, MembershipSettings settings, Random random) {
    checkNotNull(vmId, "vmId");
    checkNotNull(settings, "settings");
    checkNotNull(random, "random");
    return new Membership(vmId, incarnation, settings, random);
  }

  /** Takes over the platform's list; the node itself may be on it or not. */
  public void setListed(ImmutableList<ListedVm> vms) {
    table.setListed(vms.stream().filter(vm -> !vm.vmId().equals(vmId)).toList());
    ImmutableSet<String> others = table.vmIds();
    schedule.setVms(others);
    contacts.setOthers(others);
  }

  /** Sends the next probe and judges the earlier ones; to be called once per probe interval. */
  public ImmutableList<Outgoing> tick(long nowMillis, Digest digest) {
    ImmutableList.Builder<Outgoing> out = ImmutableList.builder();
    if (wasPaused(nowMillis)) {
      onPause(nowMillis);
    }
    lastTickMillis = OptionalLong.of(nowMillis);
    judgePending(nowMillis, digest, out);
    judgeSuspects(nowMillis);
    schedule
        .next()
        .ifPresent(
            target -> out.add(startProbe(target, Optional.empty(), true, nowMillis, digest)));
    return out.build();
  }

  /** Handles a message of another VM. */
  public ImmutableList<Outgoing> receive(
      String from, MembershipMessage message, long nowMillis, Digest digest) {
    message.updates().forEach(update -> apply(update, nowMillis));
    ImmutableList.Builder<Outgoing> out = ImmutableList.builder();
    switch (message.kind()) {
      case PROBE ->
          out.add(outgoing(from, MembershipMessage.Kind.ANSWER, message.sequence(), "", digest));
      case ANSWER -> onAnswer(from, message, out, digest);
      case INDIRECT_PROBE -> {
        Requester requester = new Requester(from, message.sequence());
        out.add(startProbe(message.subject(), Optional.of(requester), false, nowMillis, digest));
      }
      case INDIRECT_ANSWER -> onIndirectAnswer(message);
      default -> throw new AssertionError(message.kind());
    }
    return out.build();
  }

  /**
   * Returns when the probe was sent that a message answers.
   *
   * @return empty when the message is no answer or comes too late
   */
  public OptionalLong sentAtMillis(MembershipMessage message) {
    Pending probe = pending.get(message.sequence());
    boolean answers = message.kind() == MembershipMessage.Kind.ANSWER && probe != null;
    return answers ? OptionalLong.of(probe.sentAtMillis) : OptionalLong.empty();
  }

  /** Returns a probe of a chosen VM, beside those that are drawn evenly from all. */
  public Outgoing probe(String target, long nowMillis, Digest digest) {
    return startProbe(target, Optional.empty(), false, nowMillis, digest);
  }

  /** Returns probes of as many VMs as a majority is judged from, drawn evenly from all. */
  public ImmutableList<Outgoing> probeSample(long nowMillis, Digest digest) {
    ImmutableList.Builder<Outgoing> out = ImmutableList.builder();
    for (int i = 0; i < Math.min(settings.sampleSize(), table.size()); i++) {
      schedule
          .next()
          .ifPresent(
              target -> out.add(startProbe(target, Optional.empty(), true, nowMillis, digest)));
    }
    return out.build();
  }

  /** Tells the others that this node takes no new work from now on. */
  public ImmutableList<Outgoing> leave(long nowMillis, Digest digest) {
    ownState = MemberState.LEAVING;
    incarnation++;
    return schedule.pick(GOODBYE_COPIES, vmId).stream()
        .map(target -> startProbe(target, Optional.empty(), false, nowMillis, digest))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the other VMs. */
  public ImmutableList<Member> members() {
    return table.members();
  }

  /** Returns whether this node leaves. */
  public boolean leaving() {
    return ownState == MemberState.LEAVING;
  }

  /** Returns up to {@code count} other VMs at random. */
  public ImmutableList<String> pick(int count) {
    return ImmutableList.copyOf(schedule.pick(count, vmId));
  }

  /** Returns the record of finished probes. */
  public Contacts contacts() {
    return contacts;
  }

  private boolean wasPaused(long nowMillis) {
    long limitMillis = PAUSE_TICKS * settings.probeIntervalMillis();
    return lastTickMillis.isPresent() && nowMillis - lastTickMillis.getAsLong() > limitMillis;
  }

  private void onPause(long nowMillis) {
    pending.clear();
    table.restartSuspicions(nowMillis);
    health.onPause();
  }

  private void judgePending(long nowMillis, Digest digest, ImmutableList.Builder<Outgoing> out) {
    long timeoutMillis = health.scale(settings.answerTimeoutMillis());
    Iterator<Map.Entry<Long, Pending>> iterator = pending.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Pending> entry = iterator.next();
      Pending probe = entry.getValue();
      long ageMillis = nowMillis - probe.sentAtMillis;
      if (ageMillis >= 2 * timeoutMillis) {
        iterator.remove();
        onFailure(probe, nowMillis);
      } else if (ageMillis >= timeoutMillis && !probe.askedOthers && probe.requester.isEmpty()) {
        probe.askedOthers = true;
        askOthers(entry.getKey(), probe.target, digest, out);
      }
    }
  }

  private void askOthers(
      long sequence, String target, Digest digest, ImmutableList.Builder<Outgoing> out) {
    for (String other : schedule.pick(settings.indirectProbes(), target)) {
      out.add(outgoing(other, MembershipMessage.Kind.INDIRECT_PROBE, sequence, target, digest));
    }
  }

  private void onFailure(Pending probe, long nowMillis) {
    if (probe.requester.isPresent()) {
      return;
    }
    if (probe.drawn) {
      contacts.onFailure(probe.sentAtMillis);
    }
    health.onFailure();
    table.update(probe.target).ifPresent(update -> suspect(update, nowMillis));
  }

  private void suspect(MemberUpdate known, long nowMillis) {
    MemberUpdate suspicion =
        new MemberUpdate(known.vmId(), MemberState.SUSPECT, known.incarnation());
    boolean isNew = table.apply(suspicion, nowMillis);
    // A node that is itself cut off keeps its suspicions to itself.
    if (isNew && !contacts.doubtsItself(nowMillis)) {
      passOn(suspicion);
    }
  }

  private void judgeSuspects(long nowMillis) {
    double maxSuspects = Math.max(1, MAX_SUSPECT_SHARE * (table.size() + 1));
    if (table.suspectCount() > maxSuspects || contacts.doubtsItself(nowMillis)) {
      return;
    }
    long timeoutMillis = health.scale(settings.suspicionTimeoutMillis());
    for (String suspect : table.overdueSuspects(nowMillis, timeoutMillis)) {
      long known = table.update(suspect).orElseThrow().incarnation();
      apply(new MemberUpdate(suspect, MemberState.DEAD, known), nowMillis);
    }
  }

  private void onAnswer(
      String from, MembershipMessage message, ImmutableList.Builder<Outgoing> out, Digest digest) {
    Pending probe = pending.get(message.sequence());
    if (probe == null || !probe.target.equals(from)) {
      return;
    }
    pending.remove(message.sequence());
    if (probe.requester.isPresent()) {
      Requester requester = probe.requester.get();
      out.add(
          outgoing(
              requester.vmId(),
              MembershipMessage.Kind.INDIRECT_ANSWER,
              requester.sequence(),
              from,
              digest));
      return;
    }
    health.onAnswer();
    contacts.onAnswer(from, probe.sentAtMillis, message.digest(), probe.drawn);
  }

  private void onIndirectAnswer(MembershipMessage message) {
    Pending probe = pending.get(message.sequence());
    if (probe != null && probe.target.equals(message.subject())) {
      pending.remove(message.sequence());
      // The VM is alive, but there was no two-way contact with it.
      if (probe.drawn) {
        contacts.onFailure(probe.sentAtMillis);
      }
    }
  }

  private void apply(MemberUpdate update, long nowMillis) {
    if (update.vmId().equals(vmId)) {
      refute(update);
      return;
    }
    Optional<MemberState> before = table.update(update.vmId()).map(MemberUpdate::state);
    boolean changed = table.apply(update, nowMillis);
    // Others that have not heard of a VM think it alive; they need not be told.
    if (changed && !before.equals(Optional.of(update.state()))) {
      passOn(update);
    }
  }

  private void refute(MemberUpdate update) {
    if (ownUpdate().supersedes(update) || update.equals(ownUpdate())) {
      return;
    }
    incarnation = update.incarnation() + 1;
    passOn(ownUpdate());
  }

  private MemberUpdate ownUpdate() {
    return new MemberUpdate(vmId, ownState, incarnation);
  }

  private void passOn(MemberUpdate update) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(table.size() + 1);
    queue.add(update, TRANSMISSIONS_PER_DOUBLING * doublings);
  }

  private Outgoing startProbe(
      String target, Optional<Requester> requester, boolean drawn, long nowMillis, Digest digest) {
    long sequence = ++lastSequence;
    pending.put(sequence, new Pending(target, nowMillis, requester, drawn));
    return outgoing(target, MembershipMessage.Kind.PROBE, sequence, "", digest);
  }

  private Outgoing outgoing(
      String to, MembershipMessage.Kind kind, long sequence, String subject, Digest digest) {
    ImmutableList.Builder<MemberUpdate> updates = ImmutableList.builder();
    updates.add(ownUpdate());
    // A suspect can refute only what it is told.
    table
        .update(to)
        .filter(update -> update.state().compareTo(MemberState.SUSPECT) >= 0)
        .ifPresent(updates::add);
    updates.addAll(queue.take(settings.maxUpdates()));
    return new Outgoing(
        to, new MembershipMessage(kind, sequence, subject, updates.build(), digest));
  }
}
