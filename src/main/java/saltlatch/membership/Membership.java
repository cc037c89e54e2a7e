package saltlatch.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * Who of the roster is there: failure detection by gossip after the published SWIM and its
 * Lifeguard extensions. Datagrams and ticks of the clock go in, datagrams and changes of the view
 * come out; no I/O, one seeded generator, one caller. What it holds is bounded by the roster. A
 * member's state changes by three ways alone: what it says itself, what others tell of it, and a
 * suspicion that runs out; a lower incarnation never overrides a higher one. docs/member-design.md
 * tells why.
 */
public final class Membership {
  /** Where datagrams go and changes are told. */
  public interface Output {
    void send(int to, MembershipMessage m);

    void stateChanged(int member, State state, long incarnation, long version);
  }

  /** Lives for the instance, one a member of the roster. */
  private static final class Peer {
    State state = State.UNKNOWN;
    long incarnation;
    long suspectedAt;
    long suspectUntil;
    final List<Integer> confirmed = new ArrayList<>(); // who else suspects it, as many as count
    int sends; // how often its news is still to be sent
    long lostAt = Long.MIN_VALUE / 2; // it was held failed or left until then
  }

  /** This node's probe of the period. */
  private static final class Probe {
    int seq;
    int target;
    long sentAt;
    long directUntil;
    long until;
    boolean asked; // others have been asked
    int nacksOwed;
    boolean recall; // of one that is not held alive: no answer is no news
  }

  /** Another's probe that goes by this node. */
  private record Relay(int requester, int seq, int target, long nackAt) {}

  private static final long SECOND = 10_000;
  public static final int MAX_UPDATES_PER_MESSAGE = 24; // in a datagram of 256 bytes

  private final MembershipTimings terms;
  private final int me;
  private final SplittableRandom chance;
  private final Output out;
  private final Peer[] peers;
  // whom this round of probes has still to meet
  private final ArrayDeque<Integer> round = new ArrayDeque<>();
  private final Map<Integer, Relay> relays = new TreeMap<>(); // by this node's own number
  private final List<Integer> fresh = new ArrayList<>(); // members whose news is to be sent
  // whose view was another lately, until when
  private final Map<Integer, Long> differs = new HashMap<>();
  private long incarnation;
  private boolean leaving;
  private Probe probe;
  private int seq;
  private int localHealthMultiplier; // the local health multiplier: how slow this node has been
  private int periods;
  private int cursor; // what is told of the whole view where views differ
  private long version;
  private long digest;
  private long nextPeriod;
  private long lastTick;
  private long heardAt; // any member, last
  private long now;
  private final long startedAt;
  private final long startSecond; // its first incarnation
  private final QuotaLeases leases;

  /**
   * {@code incarnation}: above any that this name has had, such as seconds of the process' start.
   */
  public Membership(MembershipTimings terms, int me, long incarnation, long seed, long now,
      Output out) {
    this.terms = terms;
    this.me = me;
    this.incarnation = incarnation;
    this.out = out;
    this.now = now;
    startedAt = now;
    startSecond = incarnation;
    leases = new QuotaLeases(terms);
    chance = new SplittableRandom(seed);
    peers = new Peer[terms.members()];
    for (int i = 0; i < peers.length; i++) peers[i] = new Peer();
    lastTick = now;
    // a fleet started at once does not probe at once
    nextPeriod = now + (long) (chance.nextDouble() * terms.periodTicks());
    set(me, State.ALIVE, incarnation);
  }

  public State state(int member) {
    return peers[member].state;
  }

  public long incarnation(int member) {
    return peers[member].incarnation;
  }

  /** Members held alive, suspects and this one among them. */
  public int liveCount() {
    int n = 0;
    for (Peer p : peers) n += isLive(p) ? 1 : 0;
    return n;
  }

  /** Grows with every change of this node's view. */
  public long version() {
    return version;
  }

  /**
   * Equal where two views hold the same members live, and the others failed or left in the same
   * incarnations.
   */
  public long digest() {
    return digest;
  }

  public int localHealthMultiplier() {
    return localHealthMultiplier;
  }

  public FleetView fleetView() {
    return FleetView.of(liveCount(), countInState(State.LEFT), peers.length);
  }

  public int countInState(State state) {
    int n = 0;
    for (Peer p : peers) n += p.state == state ? 1 : 0;
    return n;
  }

  /** What the decision module is told: who is there, and until when which shares may be used. */
  public MembershipChanged membershipEvent() {
    long failed = leases.takeoverUntilTicks(now, terms.leaseExpiryTicks());
    boolean over = now < failed;
    List<MemberState> lives = new ArrayList<>();
    for (Peer p : peers) {
      boolean gone = p.state == State.LEFT || p.state == State.FAILED && over;
      lives.add(
          isLive(p) ? MemberState.LIVE : gone ? MemberState.TAKEN_OVER : MemberState.UNREACHABLE);
    }
    long holds = leaving ? 0 : leases.leaseUntilTicks();
    long takes = leaving ? 0 : over ? failed : leases.takeoverUntilTicks(now, 0);
    // A minority divides by all: those it does not see may do what it does.
    return new MembershipChanged(lives, holds, takes,
        2 * liveCount() > peers.length ? liveCount() : peers.length);
  }

  /**
   * Whether this node can say that it has not held that member failed or left for a lease. One that
   * has not run for so long can't, unless all of the roster has just begun: then nobody can have
   * taken anything over.
   */
  private boolean vouches(int member) {
    Peer p = peers[member];
    if (!isLive(p) || now - p.lostAt <= terms.leaseExpiryTicks()) return false;
    if (now - startedAt > terms.leaseExpiryTicks()) return true;
    long second = startSecond + (now - startedAt) / SECOND;
    for (Peer other : peers) {
      if (other.state == State.UNKNOWN
          || second - other.incarnation > terms.leaseExpiryTicks() / 2 / SECOND)
        return false;
    }
    return true;
  }

  /** When {@link #tick} is due next at the latest. */
  public long nextDueTicks() {
    long at = nextPeriod;
    if (probe != null) at = Math.min(at, probe.asked ? probe.until : probe.directUntil);
    for (Relay r : relays.values()) at = Math.min(at, r.nackAt);
    for (Peer p : peers) if (p.state == State.SUSPECT) at = Math.min(at, p.suspectUntil);
    return at;
  }

  /** A planned end: told to as many as one piece of news is sent to. */
  public void leave() {
    if (leaving) return;
    leaving = true;
    set(me, State.LEFT, incarnation);
    List<Integer> to = others(true);
    for (int i = 0; i < Math.min(terms.retransmitLimit(), to.size()); i++)
      send(to.get(i), Kind.PING, ++seq, me);
  }

  // ---- time

  public void tick(long now) {
    this.now = now;
    if (now - lastTick > MembershipTimings.AWAY * terms.periodTicks()) back(now);
    // starved: answers may have come and lie unread
    else if (now - lastTick > MembershipTimings.DIRECT * terms.periodTicks()) slower(1);
    lastTick = now;
    if (leaving) return;
    if (probe != null && !probe.asked && now >= probe.directUntil) askOthers();
    if (probe != null && now >= probe.until) unanswered(now);
    for (Iterator<Map.Entry<Integer, Relay>> it = relays.entrySet().iterator(); it.hasNext();) {
      Relay r = it.next().getValue();
      if (now < r.nackAt) continue;
      it.remove();
      send(r.requester, Kind.NACK, r.seq, r.target);
    }
    for (int i = 0; i < peers.length; i++) {
      if (peers[i].state == State.SUSPECT && now >= peers[i].suspectUntil)
        set(i, State.FAILED, peers[i].incarnation);
    }
    if (now >= nextPeriod) period(now);
  }

  /**
   * This node did not run: what it believes of others' silence is its own. Probes in the air blame
   * nobody, every suspicion begins anew, and it trusts itself less for a while.
   */
  private void back(long now) {
    probe = null;
    relays.clear();
    localHealthMultiplier = Math.max(localHealthMultiplier, MembershipTimings.HEALTH_BACK);
    nextPeriod = now;
    for (Peer p : peers) {
      if (p.state != State.SUSPECT) continue;
      p.suspectedAt = now;
      p.suspectUntil = now + terms.suspicionTicks(p.confirmed.size());
    }
  }

  private void slower(int by) {
    localHealthMultiplier = Math.min(MembershipTimings.HEALTH_MOST, localHealthMultiplier + by);
  }

  private void period(long now) {
    long length = terms.periodTicks() * (1 + localHealthMultiplier); // a slow node probes more slowly, and waits longer
    nextPeriod = Math.max(nextPeriod + length, now + length / 2);
    if (probe != null) return; // its time is longer than the period that began it
    periods++;
    List<Integer> lost = others(false);
    boolean recall = !lost.isEmpty()
        && (periods % MembershipTimings.RECALL == 0 || liveCount() <= 1);
    int target = recall ? lost.get(chance.nextInt(lost.size())) : nextOfRound();
    if (target < 0) return;
    Probe p = new Probe();
    p.seq = ++seq;
    p.target = target;
    p.sentAt = now;
    p.recall = recall;
    p.directUntil = now + (long) (MembershipTimings.DIRECT * length);
    p.until = now + length;
    probe = p;
    send(target, Kind.PING, p.seq, target);
  }

  /** Each live member once a round, in an order drawn anew: none waits longer than two rounds. */
  private int nextOfRound() {
    for (int turn = 0; turn < 2; turn++) {
      while (!round.isEmpty()) {
        int next = round.poll();
        if (isLive(peers[next])) return next;
      }
      round.addAll(others(true));
    }
    return -1;
  }

  private void askOthers() {
    probe.asked = true;
    if (probe.recall) return;
    int asked = 0;
    for (int other : others(true)) {
      if (asked == MembershipTimings.INDIRECT) break;
      if (other == probe.target || peers[other].state == State.SUSPECT) continue;
      send(other, Kind.PING_REQ, probe.seq, probe.target);
      asked++;
    }
    probe.nacksOwed = asked;
  }

  private void unanswered(long now) {
    Probe p = probe;
    probe = null;
    if (p.recall) return;
    // Nobody has said a word lately, nor those that were asked: the fault may be this node's own.
    // Lifeguard takes each missing word for it; where seven in ten die at once that slows all
    // survivors ninefold, though they hear each other.
    if (now - heardAt > MembershipTimings.AWAY * terms.periodTicks())
      slower(Math.max(1, p.nacksOwed));
    Peer t = peers[p.target];
    if (t.state == State.ALIVE) suspect(p.target, t.incarnation, me, now);
    else if (t.state == State.SUSPECT) confirm(t, me, now);
  }

  // ---- what others say

  /**
   * A datagram of member {@code from}; it is believed of others, and of itself by its incarnation.
   */
  public void receive(long now, int from, MembershipMessage m) {
    if (from < 0 || from >= peers.length || from == me || leaving) return;
    this.now = now;
    heardAt = now;
    merge(new MemberUpdate(from, State.ALIVE, m.incarnation(), from), now);
    for (MemberUpdate n : m.updates())
      if (n.member() >= 0 && n.member() < peers.length) merge(n, now);
    if (m.digest() != digest)
      differs.put(from, now + MembershipTimings.RECALL * terms.periodTicks());
    else differs.remove(from);
    switch (m.kind()) {
      case PING -> send(from, Kind.ACK, m.sequenceNumber(), me);
      case PING_REQ -> {
        if (m.target() < 0 || m.target() >= peers.length || m.target() == me
            || relays.size() >= peers.length)
          return;
        relays.put(++seq,
            new Relay(from, m.sequenceNumber(), m.target(),
                now + (long) ((MembershipTimings.RELAYED - MembershipTimings.DIRECT)
                    * terms.periodTicks())));
        send(m.target(), Kind.PING, seq, m.target());
      }
      case ACK -> acked(from, m);
      case NACK -> {
        if (probe != null && probe.seq == m.sequenceNumber())
          probe.nacksOwed = Math.max(0, probe.nacksOwed - 1);
      }
    }
  }

  private void acked(int from, MembershipMessage m) {
    Relay r = relays.remove(m.sequenceNumber());
    if (r != null && r.target == from) send(r.requester, Kind.ACK, r.seq, r.target);
    if (probe == null || probe.seq != m.sequenceNumber()
        || probe.target != from && probe.target != m.target())
      return;
    if (probe.target == from)
      leases.recordAnswer(now, from, probe.sentAt, m.vouchesForReceiver(), m.digest() == digest);
    probe = null;
    localHealthMultiplier = Math.max(0, localHealthMultiplier - 1);
  }

  private void merge(MemberUpdate n, long now) {
    if (n.member() == me) {
      boolean wrong = n.state() != State.ALIVE && n.state() != State.UNKNOWN && !leaving;
      if (n.incarnation() > incarnation || wrong && n.incarnation() == incarnation) {
        incarnation = n.incarnation() + 1;
        set(me, State.ALIVE, incarnation);
        if (wrong) slower(1); // it was too slow to be seen
      }
      return;
    }
    Peer p = peers[n.member()];
    if (n.state() == State.UNKNOWN || n.incarnation() < p.incarnation && p.state != State.UNKNOWN)
      return;
    if (n.state() == State.SUSPECT && p.state == State.SUSPECT
        && n.incarnation() == p.incarnation) {
      confirm(p, n.reporter(), now);
      return;
    }
    boolean newer = p.state == State.UNKNOWN || n.incarnation() > p.incarnation
        || n.state().ordinal() > p.state.ordinal();
    if (!newer) return;
    if (n.state() == State.SUSPECT) suspect(n.member(), n.incarnation(), n.reporter(), now);
    else set(n.member(), n.state(), n.incarnation());
  }

  private void suspect(int member, long inc, int by, long now) {
    Peer p = peers[member];
    set(member, State.SUSPECT, inc);
    p.confirmed.clear();
    p.confirmed.add(by); // who raised it: the first confirmation is another's
    p.suspectedAt = now;
    p.suspectUntil = now + terms.suspicionTicks(0);
  }

  private void confirm(Peer p, int by, long now) {
    if (p.confirmed.size() > MembershipTimings.CONFIRMED || p.confirmed.contains(by)) return;
    p.confirmed.add(by);
    p.suspectUntil = Math.max(now, p.suspectedAt + terms.suspicionTicks(p.confirmed.size() - 1));
  }

  // ---- the view

  private static boolean isLive(Peer p) {
    return p.state == State.ALIVE || p.state == State.SUSPECT;
  }

  /**
   * The others that are held alive, or those that are failed or unknown, in an order drawn anew.
   */
  private List<Integer> others(boolean live) {
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < peers.length; i++) {
      if (i != me && peers[i].state != State.LEFT && isLive(peers[i]) == live) all.add(i);
    }
    for (int i = all.size() - 1; i > 0; i--) {
      int j = chance.nextInt(i + 1);
      int swap = all.get(i);
      all.set(i, all.get(j));
      all.set(j, swap);
    }
    return all;
  }

  private void set(int member, State state, long inc) {
    Peer p = peers[member];
    long before = digest;
    digest -= mark(member, p);
    if (p.state == State.FAILED || p.state == State.LEFT) p.lostAt = now;
    p.state = state;
    p.incarnation = inc;
    digest += mark(member, p);
    if (digest != before) leases.viewChanged();
    version++;
    if (p.sends == 0) fresh.add(member);
    p.sends = terms.retransmitLimit();
    out.stateChanged(member, state, inc, version);
  }

  /**
   * Views are the same where they hold the same members live, and the others failed or left in the
   * same incarnations. A suspicion, and an incarnation that refuted one, is a matter between
   * members: a large fleet on a lossy network always has some on their way, and its views would
   * never be equal.
   */
  private static long mark(int member, Peer p) {
    if (p.state == State.UNKNOWN) return 0;
    long z = member * 0x9E3779B97F4A7C15L + (isLive(p) ? State.ALIVE.ordinal()
        : p.incarnation * 0xBF58476D1CE4E5B9L + p.state.ordinal());
    z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
    z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
    return z ^ z >>> 31;
  }

  private void send(int to, Kind kind, int number, int target) {
    out.send(to,
        new MembershipMessage(kind, number, target, incarnation, digest, vouches(to), news(to)));
  }

  /**
   * What rides on a datagram: first what is held of its receiver, if that is no good news (it
   * refutes it), then what was sent least so far, then, where its view was another lately, a
   * further piece of the whole view.
   */
  private List<MemberUpdate> news(int to) {
    List<MemberUpdate> all = new ArrayList<>();
    if (peers[to].state == State.SUSPECT || peers[to].state == State.FAILED) all.add(of(to));
    // Of news sent as often each node begins elsewhere: all would send the same of a fleet that
    // starts at once.
    int from = fresh.size() > MAX_UPDATES_PER_MESSAGE ? chance.nextInt(peers.length) : 0;
    fresh.sort(Comparator.comparingInt((Integer i) -> -peers[i].sends)
        .thenComparing(i -> (i + from) % peers.length));
    for (int i = 0; i < fresh.size() && all.size() < MAX_UPDATES_PER_MESSAGE; i++) {
      int member = fresh.get(i);
      peers[member].sends--;
      if (member != to || all.isEmpty()) all.add(of(member));
    }
    fresh.removeIf(i -> peers[i].sends == 0);
    if (!differs.containsKey(to)) return all;
    for (int i = 0; i < peers.length && all.size() < MAX_UPDATES_PER_MESSAGE; i++) {
      cursor = (cursor + 1) % peers.length;
      if (peers[cursor].state != State.UNKNOWN && cursor != to) all.add(of(cursor));
    }
    return all;
  }

  private MemberUpdate of(int member) {
    Peer p = peers[member];
    return new MemberUpdate(member, p.state, p.incarnation,
        p.state == State.SUSPECT ? p.confirmed.get(0) : member);
  }
}
