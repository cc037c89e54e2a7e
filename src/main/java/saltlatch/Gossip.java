package saltlatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What edge nodes tell each other of the units they passed while the counter cannot take a call for each req:
 * for each customer's window the sum so far, so that a datagram lost or overtaken is made good by the next.
 * Decides when, to whom and what; does no I/O and reads no clock. Control asks it and acts; docs/design.md
 * has the reasons.
 */
final class Gossip {
  static final double PERIOD = 10_000; // 1 s between tellings: quotas refill less than a burst
  static final double INTAKE = 0.5; // part of the datagrams that a node takes in which these may use
  static final double SILENT = 3; // periods without any datagram after which peers are taken as unheard
  static final double LINGER = 5; // periods of telling after a jam: others may still be in one
  static final double MOST_PRICE = 0.02; // of all worth, if each first try is told; in fact half that
  static final int MOST_BYTES = 256; // of a datagram, by the protocol
  static final int KIND = 0x51; // first byte of these datagrams
  static final int ENTRY = 7; // bytes: 33 bits of the customer, 7 of the window's number, 16 of units
  static final double GRAIN = 16; // parts of a unit that sums are told in
  static final int TURNS = 128; // windows' numbers are told modulo this
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Units that one node passed of a customer in one window, so far. */
  record Sum(long customer, int turn, double units) {}

  private record Own(Sum sum, int first, int width) {}

  private final int me;
  private final int nodes;
  private final double intake; // datagrams a second; 0: nothing may be told
  private final double mostWidth; // of a customer's set; wider ones cost more to tell than they bring
  private final Map<Long, Own> changed = new LinkedHashMap<>(); // by window, in order of change
  private int widest = 1;
  private long jamAt = NEVER;
  private long heardAt = NEVER;
  private long toldAt = NEVER;

  Gossip(int me, int nodes, double intake, double fee) {
    this.me = me;
    this.nodes = nodes;
    this.intake = nodes > 1 ? intake : 0;
    mostWidth = fee <= 0 ? nodes : 1 + MOST_PRICE / fee * MOST_BYTES / ENTRY;
  }

  /** Those that share customers with this node are at most twice the widest set; all may tell at once. */
  double period() {
    int tellers = Math.min(nodes - 1, 2 * (widest - 1));
    return Math.max(PERIOD, tellers * Quotas.SECOND / Math.max(1, INTAKE * intake));
  }

  /** The counter is not well. */
  void jam(long now) {
    jamAt = now;
  }

  boolean isOn(long now) {
    return intake > 0 && now - jamAt <= LINGER * period();
  }

  /** Whether what peers tell of customers with so many nodes is fresh enough to go by. */
  boolean isHeard(long now, int width) {
    return width <= mostWidth && isOn(now) && now - heardAt <= SILENT * period();
  }

  /** This node's sum for a window has changed. */
  void passed(long name, long customer, long number, int first, int width, double units) {
    if (intake <= 0 || width > mostWidth) return;
    widest = Math.max(widest, width);
    changed.remove(name);
    Sum sum = new Sum(customer, (int) Math.floorMod(number, (long) TURNS), units);
    changed.put(name, new Own(sum, first, width));
  }

  /** What is due now: a datagram for each peer with a customer whose sum has changed, the latest first. */
  Map<Integer, byte[]> due(long now) {
    Map<Integer, byte[]> out = new LinkedHashMap<>();
    if (!isOn(now)) {
      changed.clear();
      return out;
    }
    if (now - toldAt < period()) return out;
    toldAt = now;
    List<Own> latest = new ArrayList<>(changed.values());
    for (int step = 1; step < nodes; step++) {
      int peer = (me + step) % nodes;
      byte[] words = new byte[MOST_BYTES];
      int at = 1;
      words[0] = KIND;
      for (int i = latest.size() - 1; i >= 0 && at + ENTRY <= MOST_BYTES; i--) {
        Own o = latest.get(i);
        if (Math.floorMod(peer - o.first(), nodes) < o.width()) at = write(words, at, o.sum());
      }
      // One with no sums says that this node passed nothing: silence would look like a node cut off.
      int apart = Math.min(step, nodes - step);
      if (at > 1 || apart < widest) out.put(peer, Arrays.copyOf(words, at));
    }
    changed.clear();
    return out;
  }

  private static int write(byte[] words, int at, Sum s) {
    long head = (s.customer() & 0x1ffffffffL) << 7 | s.turn();
    for (int i = 0; i < 5; i++) words[at + i] = (byte) (head >>> 8 * (4 - i));
    int units = (int) Math.max(0, Math.min(0xffff, Math.round(s.units() * GRAIN)));
    words[at + 5] = (byte) (units >>> 8);
    words[at + 6] = (byte) units;
    return at + ENTRY;
  }

  /** The sums of a peer's datagram; none of one that is not of this form. */
  List<Sum> heard(long now, int from, byte[] words) {
    List<Sum> out = new ArrayList<>();
    boolean good = from >= 0 && from < nodes && from != me && words.length > 0 && words.length <= MOST_BYTES
        && words[0] == KIND && (words.length - 1) % ENTRY == 0;
    if (!good) return out;
    heardAt = now;
    for (int at = 1; at < words.length; at += ENTRY) {
      long head = 0;
      for (int i = 0; i < 5; i++) head = head << 8 | words[at + i] & 0xff;
      int units = (words[at + 5] & 0xff) << 8 | words[at + 6] & 0xff;
      out.add(new Sum(head >>> 7, (int) (head & TURNS - 1), units / GRAIN));
    }
    return out;
  }
}
