package saltlatch.node;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.Ticks;
import saltlatch.membership.FleetView;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipTimings;
import saltlatch.membership.QuotaShares;
import saltlatch.node.NodeHistory.QuotaShareValues;
import saltlatch.node.NodeHistory.QuotaShareLevel;
import saltlatch.wire.peer.MembershipCodec;
import saltlatch.wire.peer.PeerSocket;
import saltlatch.wire.transport.Scheduler;

/**
 * Connects the membership protocol to this node's datagrams and clock, and reports its changes to
 * the policy, the log and the history. It contains no protocol logic, and is created only if the
 * configuration enables membership. Owned by the event loop.
 */
final class MembershipAdapter implements Membership.Output {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAdapter.class);

  private final Scheduler scheduler;
  private final PeerSocket peers;
  private final NodeHistory history;
  private final Consumer<GatewayEvent> events;
  private final MembershipTimings timings;
  private final Membership membership;
  private final QuotaShares shares; // computes the same shares as the policy, for the history
  private MembershipChanged reported; // last event sent to the policy
  private FleetView fleetView;
  private QuotaShareLevel shareLevel;

  /** Joins the fleet; {@code events} receives the events for the policy. */
  MembershipAdapter(Scheduler scheduler, PeerSocket peers, NodeHistory history,
      NodeConfiguration configuration, Consumer<GatewayEvent> events) {
    this.scheduler = scheduler;
    this.peers = peers;
    this.history = history;
    this.events = events;
    int ownIndex = configuration.settings().peers().ownIndex();
    timings = MembershipTimings.of(configuration.settings().nodeCount(),
        configuration.settings().peers().datagramsPerSecond());
    long nowTicks = scheduler.now();
    shares = new QuotaShares(ownIndex, timings.memberCount());
    membership = new Membership(timings, ownIndex, nowTicks / Ticks.PER_SECOND,
        configuration.settings().seed(), nowTicks, this);
    reportChanges();
    tick();
  }

  private void tick() {
    membership.tick(scheduler.now());
    reportChanges();
    scheduler.scheduleAt(scheduler.now() + MembershipTimings.tickIntervalTicks(), this::tick);
  }

  /**
   * Passes a peer's datagram to the protocol, or drops it if it is malformed. The protocol's tick
   * runs first, so that a node that was stalled detects the stall before it handles the message.
   */
  void received(int sender, byte[] datagram) {
    MembershipMessage message = MembershipCodec.decode(datagram);
    if (message == null) return;
    membership.tick(scheduler.now());
    membership.receive(scheduler.now(), sender, message);
    reportChanges();
  }

  /** Leaves the fleet before a planned shutdown; this node keeps only the floor of its share. */
  void leave() {
    membership.leave();
    reportChanges();
  }

  private void reportChanges() {
    MembershipChanged current = membership.membershipEvent();
    boolean changed = !current.equals(reported);
    if (changed) {
      events.accept(current);
      shares.update(current);
      reported = current;
    }
    reportShare(level(current), changed);
    reportFleetView(membership.fleetView());
  }

  /** Returns the quota share level that the leases permit now. */
  private QuotaShareLevel level(MembershipChanged current) {
    if (scheduler.now() < current.takeoverUntilTicks()
        && current.states().contains(MemberState.TAKEN_OVER)) {
      return QuotaShareLevel.TAKEN_OVER;
    }
    return scheduler.now() < current.leaseUntilTicks() ? QuotaShareLevel.FULL
        : QuotaShareLevel.FLOOR;
  }

  private void reportShare(QuotaShareLevel level, boolean membersChanged) {
    boolean levelChanged = level != shareLevel;
    shareLevel = level;
    if (levelChanged) LOG.info("quota_share level={}", MembershipInfo.levelName(level));
    if (levelChanged || membersChanged) history.quotaShareChanged(level, shareValues());
  }

  private QuotaShareValues shareValues() {
    int members = timings.memberCount();
    return new QuotaShareValues(shares.ownShare(scheduler.now(), 0, members), 1.0 / members,
        shares.ownShare(Long.MAX_VALUE, 0, members), remainingMs(reported.leaseUntilTicks()),
        remainingMs(reported.takeoverUntilTicks()));
  }

  private void reportFleetView(FleetView view) {
    if (view == fleetView) return;
    fleetView = view;
    LOG.info("fleet_view view={} live={} members={}", view.infoName(), membership.liveCount(),
        timings.memberCount());
    history.fleetViewChanged(view, membership.liveCount(), membership.version());
  }

  private long remainingMs(long untilTicks) {
    long remainingTicks = Math.min(timings.leaseTicks(), untilTicks - scheduler.now());
    return Math.max(0, remainingTicks) / Ticks.PER_MILLISECOND;
  }

  /** Returns the lines for INFO; the policy uses gossip for {@code gossipValidityTicks}. */
  String infoText(long gossipValidityTicks) {
    return MembershipInfo.text(fleetView, shareLevel, membership,
        remainingMs(reported.leaseUntilTicks()), remainingMs(reported.takeoverUntilTicks()),
        timings, gossipValidityTicks);
  }

  @Override
  public void send(int to, MembershipMessage message) {
    peers.send(to, MembershipCodec.encode(message));
  }

  @Override
  public void stateChanged(int member, MembershipMessage.State state, long incarnation,
      long version) {
    history.memberChanged(member, state, incarnation, version);
  }
}
