package saltlatch.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GossipMessage;
import saltlatch.membership.QuotaShares;

/**
 * What edge nodes tell each other of the units they passed while the counter cannot take a call for
 * each req: for each customer's window the sum so far, so that a datagram lost or overtaken is made
 * good by the next. Decides when, to whom and what; does no I/O and reads no clock. Control asks it
 * and acts; docs/design.md has the reasons.
 */
final class QuotaGossip {
  static final double PERIOD = 10_000; // 1 s between tellings: quotas refill less than a burst
  // part of the datagrams that a node takes in which these may use
  static final double MAX_INTAKE_FRACTION = 0.5;
  // periods without any datagram after which peers are taken as unheard
  static final double SILENT = 3;
  static final double LINGER = 5; // periods of telling after a jam: others may still be in one
  // of all worth, if each first try is told; in fact half that
  static final double MOST_PRICE = 0.02;
  static final int MAX_DATAGRAM_BYTES = 256; // of a datagram, by the protocol
  static final int ENTRY = 7; // bytes that a sum takes of it
  static final int WINDOW_NUMBER_MODULUS = 128; // windows' numbers are told modulo this
  static final long NEVER = Long.MIN_VALUE / 2;

  private record Own(GossipMessage.WindowUsage sum, int first, int width) {}

  private final int me;
  private final int nodes;
  private final double intake; // datagrams a second; 0: nothing may be told
  // of a customer's set; wider ones cost more to tell than they bring
  private final double mostWidth;
  private final Map<Long, Own> changed = new LinkedHashMap<>(); // by window, in order of change
  private int widest = 1;
  private long jamAt = NEVER;
  private long heardAt = NEVER;
  private long toldAt = NEVER;
  private QuotaShares shares; // null: nodes do not know each other

  QuotaGossip(int me, int nodes, double intake, double fee) {
    this.me = me;
    this.nodes = nodes;
    this.intake = nodes > 1 ? intake : 0;
    mostWidth = fee <= 0 ? nodes : 1 + MOST_PRICE / fee * MAX_DATAGRAM_BYTES / ENTRY;
  }

  /**
   * Those that share customers with this node are at most twice the widest set; all may tell at
   * once.
   */
  double periodTicks() {
    int tellers = Math.min((shares == null ? nodes : shares.divisorNodes()) - 1, 2 * (widest - 1));
    return Math.max(PERIOD,
        tellers * QuotaTracker.SECOND / Math.max(1, MAX_INTAKE_FRACTION * intake));
  }

  void useShares(QuotaShares with) { shares = with; }

  /** How long a peer's last datagram says whom it hears, and that it is heard. */
  long validityTicks() {
    return (long) (SILENT * periodTicks());
  }

  /** The counter is not well. */
  void counterUnhealthy(long now) {
    jamAt = now;
  }

  boolean isActive(long now) {
    return intake > 0 && now - jamAt <= LINGER * periodTicks();
  }

  /** Whether what peers tell of customers with so many nodes is fresh enough to go by. */
  boolean isUsageFresh(long now, int width) {
    return width <= mostWidth && isActive(now) && now - heardAt <= SILENT * periodTicks();
  }

  /** This node's sum for a window has changed. */
  void recordAdmitted(long name, long customer, long number, int first, int width, double units) {
    if (intake <= 0 || width > mostWidth) return;
    widest = Math.max(widest, width);
    changed.remove(name);
    GossipMessage.WindowUsage sum = new GossipMessage.WindowUsage(customer,
        (int) Math.floorMod(number, (long) WINDOW_NUMBER_MODULUS), units);
    changed.put(name, new Own(sum, first, width));
  }

  /**
   * What is due now: a datagram for each peer with a customer whose sum has changed, the latest
   * first.
   */
  Map<Integer, GossipMessage> dueMessages(long now) {
    Map<Integer, GossipMessage> out = new LinkedHashMap<>();
    if (!isActive(now)) {
      changed.clear();
      return out;
    }
    if (now - toldAt < periodTicks()) return out;
    toldAt = now;
    GossipMessage.Reachability hearing = shares == null ? null
        : shares.reachability(now, validityTicks());
    int most = hearing == null ? GossipMessage.MAX_ENTRIES : GossipMessage.maxUsageEntries(nodes);
    List<Own> latest = new ArrayList<>(changed.values());
    for (int step = 1; step < nodes; step++) {
      int peer = (me + step) % nodes;
      if (shares != null && !shares.isLive(peer)) continue;
      List<GossipMessage.WindowUsage> sums = new ArrayList<>();
      for (int i = latest.size() - 1; i >= 0 && sums.size() < most; i--) {
        Own o = latest.get(i);
        if (Math.floorMod(peer - o.first(), nodes) < o.width()) sums.add(o.sum());
      }
      // One with no sums says that this node passed nothing: silence would look like a node cut
      // off.
      int apart = Math.min(step, nodes - step);
      if (!sums.isEmpty() || apart < widest) out.put(peer, new GossipMessage(sums, hearing));
    }
    changed.clear();
    return out;
  }

  /** The sums that a peer tells; none of a stranger. */
  List<GossipMessage.WindowUsage> receive(long now, int from, GossipMessage told) {
    if (from < 0 || from >= nodes || from == me) return List.of();
    heardAt = now;
    if (shares != null) shares.recordGossip(now, from, told.reachability());
    return told.usage();
  }
}
