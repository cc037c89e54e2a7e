package saltlatch.policy;

import java.util.ArrayDeque;

/**
 * One customer's count for one window of the quota.
 *
 * <p>{@link QuotaManager} creates it with the first request of the window. The engine releases it
 * once the window and the longest client timeout are over and no call is in flight; it also keeps
 * the calls and {@code unsentUnits}. {@link CounterTotals} writes the counter's fields, {@link
 * PeerUsage} those of other nodes. All amounts are units.
 */
final class QuotaWindow {
  final CustomerQuota customer;
  /** Name of this count at the counter. */
  final long counterName;
  final long endsAtTicks;

  // QuotaCharges
  final ArrayDeque<PendingCounterCall> calls = new ArrayDeque<>();
  /** Charged or refunded by this node, carried by no call yet. */
  double unsentUnits;

  // CounterTotals
  /** The counter's last total, with the lost units added. */
  double lastTotalUnits;
  /** Net units of this node that answers have confirmed. */
  double ownConfirmedUnits;
  /** Units of adds that timed out since the last total; they may have been counted. */
  double unconfirmedUnits;
  /** Units that the counter has lost. */
  double lostUnits;
  /** Charged by all nodes, with what is taken to have been admitted uncounted. */
  double totalChargedUnits;

  /** Admitted by this node, counted or not. */
  double admittedUnits;

  // PeerUsage
  double peerUnitsByCounter;
  double peerUnitsByGossip;
  /** The part of the others' units that the customer has been charged for. */
  double peerChargedUnits;
  /** The last sum of each node of the customer's set; null until one arrives. */
  double[] gossipUnitsByNode;

  QuotaWindow(CustomerQuota customer, long counterName, long endsAtTicks) {
    this.customer = customer;
    this.counterName = counterName;
    this.endsAtTicks = endsAtTicks;
  }

  /**
   * Adds to what this node owes the counter, to ride on the next call.
   *
   * @param units of an admitted request that no call carried; below 0 gives units back
   */
  void charge(double units) {
    unsentUnits += units;
  }

  /**
   * Gives units back to the counter with the next call.
   *
   * @param units of a request that was charged and not executed
   */
  void refund(double units) {
    unsentUnits -= units;
  }

  /** Notes an add that timed out or whose connection broke: it may have been counted. */
  void recordUnconfirmed(double units) {
    unconfirmedUnits += units;
  }
}
