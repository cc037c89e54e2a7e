package saltlatch.policy;

import java.util.ArrayDeque;

/**
 * Holds one customer's usage in one window of the quota.
 *
 * <p>{@link QuotaManager} creates it with the first request of the window. It is released after the
 * window has ended, the longest client timeout has also passed and no call is in flight. The
 * comment above each group of fields names the class that writes it. All amounts are in units.
 */
final class QuotaWindow {
  final CustomerQuota customer;
  /** Name of this count at the counter. */
  final long counterName;
  final long endsAtTicks;

  // QuotaCharges
  final ArrayDeque<PendingCounterCall> calls = new ArrayDeque<>();
  /** Units charged (or, if negative, refunded) by this node that no call has reported yet. */
  double unsentUnits;

  // CounterTotals
  /** The counter's last total plus {@link #lostUnits}. */
  double lastTotalUnits;
  /** Net units of this node that replies of the counter have confirmed. */
  double ownConfirmedUnits;
  /** Units of calls that timed out since the last total; they may have been counted. */
  double unconfirmedUnits;
  /** Units that the counter has lost in this window. */
  double lostUnits;
  /** Units charged by all nodes, including the estimate of those admitted without being counted. */
  double totalChargedUnits;

  // QuotaManager
  /** Units admitted by this node, counted or not. */
  double admittedUnits;

  // PeerUsage
  double peerUnitsByCounter;
  double peerUnitsByGossip;
  /** Units of other nodes for which the customer has already been charged. */
  double peerChargedUnits;
  /** The last sum of each of the customer's nodes; null until one arrives. */
  double[] gossipUnitsByNode;

  QuotaWindow(CustomerQuota customer, long counterName, long endsAtTicks) {
    this.customer = customer;
    this.counterName = counterName;
    this.endsAtTicks = endsAtTicks;
  }

  /**
   * Adds units to the next call to the counter.
   *
   * @param units units admitted that no call has reported; negative to refund units
   */
  void charge(double units) {
    unsentUnits += units;
  }

  /**
   * Refunds units with the next call to the counter.
   *
   * @param units units of a request that was charged but not executed
   */
  void refund(double units) {
    unsentUnits -= units;
  }

  /** Records a call that timed out or whose connection broke; it may have been counted. */
  void recordUnconfirmed(double units) {
    unconfirmedUnits += units;
  }
}
