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
 * One node's view of the other VMs, maintained by a SWIM-style failure detector.
 *
 * <p>The node probes one VM per tick, asks other VMs to probe it if it does not answer, and
 * piggybacks updates on probes and answers, so the cost per node does not depend on the number of
 * VMs. A suspect refutes its suspicion by incrementing its incarnation. A node restarts all
 * suspicion time-outs after it was paused, and declares no VM dead while most of its probes fail or
 * while many VMs are suspected at once, as in a network partition.
 *
 * <p>Times are in milliseconds of a monotonic clock. Not thread-safe. Example:
 *
 * <pre>{@code
 * membership.setListed(vms);
 * membership.tick(nowMillis, digest).forEach(network::send);
 * membership.receive("vm-2", message, nowMillis, digest).forEach(network::send);
 * }</pre>
 */
public final class Membership {
  /** A gap between ticks that exceeds this many probe intervals counts as a pause of the node. */
  private static final int PAUSE_INTERVALS = 4;

  /** How often an update is sent for each doubling of the number of VMs. */
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private static final int LEAVE_MESSAGES = 6;

  /** The share of the VMs above which simultaneous suspects are not declared dead. */
  private static final double MAX_SUSPECT_SHARE = 0.05;

  /** An unanswered probe, sent for this node itself or on behalf of a requester. */
  private static final class PendingProbe {
    final String target;
    final long sentAtMillis;
    final Optional<Requester> requester;
    boolean indirectProbesSent;

    PendingProbe(String target, long sentAtMillis, Optional<Requester> requester) {
      this.target = target;
      this.sentAtMillis = sentAtMillis;
      this.requester = requester;
    }
  }

  private record Requester(String vmId, long sequence) {}

  private final String vmId;
  private final MembershipSettings settings;
  private final MemberTable table = new MemberTable();
  private final UpdateQueue queue = new UpdateQueue();
  private final LocalHealth health = new LocalHealth();
  private final ProbeSchedule schedule;
  private final ProbeHistory probeHistory;
  private final Map<Long, PendingProbe> pendingProbes = new HashMap<>();
  private OptionalLong lastTickMillis = OptionalLong.empty();
  private MemberState ownState = MemberState.ALIVE;
  private long incarnation;
  private long lastSequence;

  private Membership(String vmId, long incarnation, MembershipSettings settings, Random random) {
    this.vmId = vmId;
    this.incarnation = incarnation;
    this.settings = settings;
    this.schedule = new ProbeSchedule(random);
    this.probeHistory = ProbeHistory.create(settings);
  }

  /**
   * Creates the view of a node that knows no other VM yet.
   *
   * @param incarnation greater than that of the VM's earlier processes, such as the start time
   */
  public static Membership create(
      String vmId, long incarnation, MembershipSettings settings, Random random) {
    checkNotNull(vmId, "vmId");
    checkNotNull(settings, "settings");
    checkNotNull(random, "random");
    return new Membership(vmId, incarnation, settings, random);
  }

  /** Sets the platform's list of VMs, which may or may not include this node. */
  public void setListed(ImmutableList<ListedVm> vms) {
    table.setListed(vms.stream().filter(vm -> !vm.vmId().equals(vmId)).toList());
    ImmutableSet<String> others = table.vmIds();
    schedule.setVms(others);
    probeHistory.setOthers(others);
  }

  /**
   * Sends the next probe and handles the time-outs of earlier probes and of suspects.
   *
   * <p>Call this once per probe interval.
   */
  public ImmutableList<OutgoingMessage> tick(long nowMillis, Digest digest) {
    ImmutableList.Builder<OutgoingMessage> out = ImmutableList.builder();
    if (wasPaused(nowMillis)) {
      onPause(nowMillis);
    }
    lastTickMillis = OptionalLong.of(nowMillis);
    checkPendingProbes(nowMillis, digest, out);
    declareOverdueSuspectsDead(nowMillis);
    schedule
        .next()
        .ifPresent(
            target -> out.add(startProbe(target, Optional.empty(), true, nowMillis, digest)));
    return out.build();
  }

  /** Handles a message from another VM and returns the messages to send in response. */
  public ImmutableList<OutgoingMessage> receive(
      String from, MembershipMessage message, long nowMillis, Digest digest) {
    message.updates().forEach(update -> apply(update, nowMillis));
    ImmutableList.Builder<OutgoingMessage> out = ImmutableList.builder();
    switch (message.kind()) {
      case PROBE ->
          out.add(
              createMessage(from, MembershipMessage.Kind.ANSWER, message.sequence(), "", digest));
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
   * Returns when the probe that {@code message} answers was sent.
   *
   * @return empty if the message is not an answer or arrives after the probe has expired
   */
  public OptionalLong sentAtMillis(MembershipMessage message) {
    PendingProbe probe = pendingProbes.get(message.sequence());
    boolean answers = message.kind() == MembershipMessage.Kind.ANSWER && probe != null;
    return answers ? OptionalLong.of(probe.sentAtMillis) : OptionalLong.empty();
  }

  /** Returns a probe of the given VM, which does not count towards the sample. */
  public OutgoingMessage probe(String target, long nowMillis, Digest digest) {
    return startProbe(target, Optional.empty(), false, nowMillis, digest);
  }

  /** Returns probes of up to as many other VMs as the sample size, chosen evenly. */
  public ImmutableList<OutgoingMessage> probeSample(long nowMillis, Digest digest) {
    ImmutableList.Builder<OutgoingMessage> out = ImmutableList.builder();
    for (int i = 0; i < Math.min(settings.sampleSize(), table.size()); i++) {
      schedule
          .next()
          .ifPresent(
              target -> out.add(startProbe(target, Optional.empty(), true, nowMillis, digest)));
    }
    return out.build();
  }

  /** Marks this node as leaving and returns messages that announce it to other VMs. */
  public ImmutableList<OutgoingMessage> leave(long nowMillis, Digest digest) {
    ownState = MemberState.LEAVING;
    incarnation++;
    return schedule.pick(LEAVE_MESSAGES, vmId).stream()
        .map(target -> startProbe(target, Optional.empty(), false, nowMillis, digest))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the other VMs. */
  public ImmutableList<Member> members() {
    return table.members();
  }

  /** Returns whether this node is leaving. */
  public boolean leaving() {
    return ownState == MemberState.LEAVING;
  }

  /** Returns the ids of up to {@code count} other VMs, chosen at random. */
  public ImmutableList<String> pick(int count) {
    return ImmutableList.copyOf(schedule.pick(count, vmId));
  }

  /** Returns the record of recent direct probes. */
  public ProbeHistory probeHistory() {
    return probeHistory;
  }

  private boolean wasPaused(long nowMillis) {
    long limitMillis = PAUSE_INTERVALS * settings.probeIntervalMillis();
    return lastTickMillis.isPresent() && nowMillis - lastTickMillis.getAsLong() > limitMillis;
  }

  private void onPause(long nowMillis) {
    pendingProbes.clear();
    table.restartSuspicions(nowMillis);
    health.onPause();
  }

  private void checkPendingProbes(
      long nowMillis, Digest digest, ImmutableList.Builder<OutgoingMessage> out) {
    long timeoutMillis = health.scale(settings.answerTimeoutMillis());
    Iterator<Map.Entry<Long, PendingProbe>> iterator = pendingProbes.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, PendingProbe> entry = iterator.next();
      PendingProbe probe = entry.getValue();
      long ageMillis = nowMillis - probe.sentAtMillis;
      if (ageMillis >= 2 * timeoutMillis) {
        iterator.remove();
        onFailure(probe, nowMillis);
      } else if (ageMillis >= timeoutMillis
          && !probe.indirectProbesSent
          && probe.requester.isEmpty()) {
        probe.indirectProbesSent = true;
        sendIndirectProbes(entry.getKey(), probe.target, digest, out);
      }
    }
  }

  private void sendIndirectProbes(
      long sequence, String target, Digest digest, ImmutableList.Builder<OutgoingMessage> out) {
    for (String other : schedule.pick(settings.indirectProbes(), target)) {
      out.add(
          createMessage(other, MembershipMessage.Kind.INDIRECT_PROBE, sequence, target, digest));
    }
  }

  private void onFailure(PendingProbe probe, long nowMillis) {
    if (probe.requester.isPresent()) {
      return;
    }
    health.onFailure();
    table.update(probe.target).ifPresent(update -> suspect(update, nowMillis));
  }

  private void suspect(MemberUpdate known, long nowMillis) {
    MemberUpdate suspicion =
        new MemberUpdate(known.vmId(), MemberState.SUSPECT, known.incarnation());
    boolean isNew = table.apply(suspicion, nowMillis);
    // A node that may itself be disconnected does not disseminate its suspicions.
    if (isNew && !probeHistory.areMostProbesUnanswered(nowMillis)) {
      disseminate(suspicion);
    }
  }

  private void declareOverdueSuspectsDead(long nowMillis) {
    double maxSuspects = Math.max(1, MAX_SUSPECT_SHARE * (table.size() + 1));
    if (table.suspectCount() > maxSuspects || probeHistory.areMostProbesUnanswered(nowMillis)) {
      return;
    }
    long timeoutMillis = health.scale(settings.suspicionTimeoutMillis());
    for (String suspect : table.overdueSuspects(nowMillis, timeoutMillis)) {
      long known = table.update(suspect).orElseThrow().incarnation();
      apply(new MemberUpdate(suspect, MemberState.DEAD, known), nowMillis);
    }
  }

  private void onAnswer(
      String from,
      MembershipMessage message,
      ImmutableList.Builder<OutgoingMessage> out,
      Digest digest) {
    PendingProbe probe = pendingProbes.get(message.sequence());
    if (probe == null || !probe.target.equals(from)) {
      return;
    }
    pendingProbes.remove(message.sequence());
    if (probe.requester.isPresent()) {
      Requester requester = probe.requester.get();
      out.add(
          createMessage(
              requester.vmId(),
              MembershipMessage.Kind.INDIRECT_ANSWER,
              requester.sequence(),
              from,
              digest));
      return;
    }
    health.onAnswer();
    probeHistory.onAnswer(from, message.sequence(), probe.sentAtMillis, message.digest());
  }

  private void onIndirectAnswer(MembershipMessage message) {
    PendingProbe probe = pendingProbes.get(message.sequence());
    if (probe != null && probe.target.equals(message.subject())) {
      // The VM is alive but did not answer this node directly, so the probe history is unchanged.
      pendingProbes.remove(message.sequence());
    }
  }

  private void apply(MemberUpdate update, long nowMillis) {
    if (update.vmId().equals(vmId)) {
      refute(update);
      return;
    }
    Optional<MemberState> before = table.update(update.vmId()).map(MemberUpdate::state);
    boolean changed = table.apply(update, nowMillis);
    // Nodes assume that a VM without updates is alive, so an unchanged state is not disseminated.
    if (changed && !before.equals(Optional.of(update.state()))) {
      disseminate(update);
    }
  }

  private void refute(MemberUpdate update) {
    if (ownUpdate().supersedes(update) || update.equals(ownUpdate())) {
      return;
    }
    incarnation = update.incarnation() + 1;
    disseminate(ownUpdate());
  }

  private MemberUpdate ownUpdate() {
    return new MemberUpdate(vmId, ownState, incarnation);
  }

  private void disseminate(MemberUpdate update) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(table.size() + 1);
    queue.add(update, TRANSMISSIONS_PER_DOUBLING * doublings);
  }

  private OutgoingMessage startProbe(
      String target,
      Optional<Requester> requester,
      boolean sampled,
      long nowMillis,
      Digest digest) {
    long sequence = ++lastSequence;
    if (sampled) {
      probeHistory.onProbeSent(sequence, nowMillis);
    }
    pendingProbes.put(sequence, new PendingProbe(target, nowMillis, requester));
    return createMessage(target, MembershipMessage.Kind.PROBE, sequence, "", digest);
  }

  private OutgoingMessage createMessage(
      String to, MembershipMessage.Kind kind, long sequence, String subject, Digest digest) {
    ImmutableList.Builder<MemberUpdate> updates = ImmutableList.builder();
    updates.add(ownUpdate());
    // A suspect can refute only a suspicion that it receives.
    table
        .update(to)
        .filter(update -> update.state().compareTo(MemberState.SUSPECT) >= 0)
        .ifPresent(updates::add);
    updates.addAll(queue.take(settings.maxUpdates()));
    return new OutgoingMessage(
        to, new MembershipMessage(kind, sequence, subject, updates.build(), digest));
  }
}
