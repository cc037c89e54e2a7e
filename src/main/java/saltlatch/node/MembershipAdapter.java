package saltlatch.node;

import java.util.Locale;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayEvent;
import saltlatch.history.History;
import saltlatch.membership.FleetView;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipTimings;
import saltlatch.membership.QuotaShares;
import saltlatch.wire.peer.MembershipCodec;
import saltlatch.wire.peer.PeerSocket;
import saltlatch.wire.transport.Scheduler;

/**
 * Membership on this node's datagrams and clock; only where the configuration asks for it. It
 * decides nothing.
 */
final class MembershipAdapter implements Membership.Out {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipAdapter.class);
  private static final long SECOND = 10_000; // tenths of a ms

  private final Scheduler scheduler;
  private final PeerSocket peers;
  private final History history; // null: none is kept
  private final Consumer<GatewayEvent> module;
  private final MembershipTimings terms;
  private final Membership membership;
  private final QuotaShares shares; // as the module has them, to be told
  private GatewayEvent.MembershipChanged told;
  private FleetView standing;
  private String share = "";

  MembershipAdapter(Scheduler scheduler, PeerSocket peers, History history,
      NodeConfiguration configuration, Consumer<GatewayEvent> module) {
    this.scheduler = scheduler;
    this.peers = peers;
    this.history = history;
    this.module = module;
    terms = MembershipTimings.of(configuration.site().nodeCount(),
        configuration.site().peers().datagramsPerSecond());
    long now = scheduler.now();
    shares = new QuotaShares(configuration.site().peers().ownIndex(), terms.members());
    membership = new Membership(terms, configuration.site().peers().ownIndex(), now / SECOND,
        configuration.site().seed(), now, this);
    look();
    tick();
  }

  private void tick() {
    membership.tick(scheduler.now());
    look();
    scheduler.at(scheduler.now() + MembershipTimings.tick(), this::tick);
  }

  /**
   * A peer's datagram; the clock is seen first, so that one that was away knows it before it hears
   * anything.
   */
  void heard(int from, byte[] bytes) {
    MembershipMessage m = MembershipCodec.decode(bytes);
    if (m == null) return;
    membership.tick(scheduler.now());
    membership.heard(scheduler.now(), from, m);
    look();
  }

  /** A planned end: what this node still decides, it decides without its surplus. */
  void leave() {
    membership.leave();
    look();
  }

  /** Tells what has changed. */
  private void look() {
    GatewayEvent.MembershipChanged now = membership.members();
    boolean changed = !now.equals(told);
    if (changed) {
      module.accept(now);
      shares.update(now);
      told = now;
    }
    shareIs(scheduler.now() < now.takeoverUntilTicks()
        && now.states().contains(GatewayEvent.MemberState.TAKEN_OVER) ? "more"
            : scheduler.now() < now.leaseUntilTicks() ? "whole" : "floor",
        changed);
    FleetView is = membership.standing();
    if (is == standing) return;
    standing = is;
    LOG.info("standing {}, {} of {} members live", is, membership.live(), terms.members());
    if (history != null) {
      history.add("standing", "is", is.name().toLowerCase(Locale.ROOT), "live", membership.live(),
          "view", membership.version());
    }
  }

  /**
   * What of an even share may be used without the counter: the floor, all of it, or more; in full
   * in the history.
   */
  private void shareIs(String is, boolean changed) {
    if (!is.equals(share)) LOG.info("share {}", is);
    if (history != null && (changed || !is.equals(share))) {
      long now = scheduler.now();
      history.add("share", "is", is, "part", shares.ownShare(now, 0, terms.members()), "whole",
          1.0 / terms.members(), "floor", shares.ownShare(Long.MAX_VALUE, 0, terms.members()),
          "holds_ms", left(told.leaseUntilTicks()), "takes_ms", left(told.takeoverUntilTicks()));
    }
    share = is;
  }

  private long left(long until) {
    return Math.max(0, Math.min(terms.lease(), until - scheduler.now())) / 10;
  }

  /** Lines for INFO; times in ms. */
  String figures(long heardWithin) {
    return "members_standing=" + standing.name().toLowerCase(Locale.ROOT) + "\nmembers_share="
        + share + "\nmembers_live=" + membership.live() + "\nmembers_failed="
        + membership.count(MembershipMessage.State.FAILED) + "\nmembers_left="
        + membership.count(MembershipMessage.State.LEFT) + "\nmembers_view=" + membership.version()
        + "\nmembers_digest=" + Long.toHexString(membership.digest()) + "\nmembers_health="
        + membership.health() + "\nmembers_holds_ms=" + left(told.leaseUntilTicks())
        + "\nmembers_takes_ms=" + left(told.takeoverUntilTicks()) + "\nmembers_t1_ms="
        + terms.failedWithin() / 10 + "\nmembers_t2_ms=" + terms.falselyFailedAtMost() / 10
        + "\nmembers_t3_ms=" + terms.equalWithin() / 10 + "\nmembers_lease_ms=" + terms.lease() / 10
        + "\nmembers_takeover_ms=" + (terms.failedWithin() + terms.takenOverWithin()) / 10
        + "\nmembers_b=" + (terms.members() - 1) + "\nmembers_d_ms=" + heardWithin / 10 + "\n";
  }

  // ---- what membership wants

  @Override
  public void send(int to, MembershipMessage m) {
    peers.send(to, MembershipCodec.encode(m));
  }

  @Override
  public void changed(int member, MembershipMessage.State state, long incarnation, long version) {
    if (history != null) {
      history.add("member", "member", "n" + member, "state", state.name().toLowerCase(Locale.ROOT),
          "incarnation", incarnation, "view", version);
    }
  }
}
