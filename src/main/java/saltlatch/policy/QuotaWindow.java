package saltlatch.policy;

import java.util.ArrayDeque;

/** One customer's count for one window; lives for the window and the longest client timeout. */
final class QuotaWindow {
  CustomerQuota customer;
  long counterName, endsAt;
  double lastTotal; // last total, with what was lost
  double chargedTotal; // units charged by that total, with those taken to have passed uncounted
  double ownConfirmed; // net units of this node that answers have confirmed
  double uncarriedUnits; // units charged or given back that no call has carried yet
  double unconfirmedUnits; // units of timed-out adds since the last total
  double lostUnits; // units that the counter forgot, by what this node knows
  double admittedUnits; // units that this node passed, counted or not
  // what the others passed, by totals, by their telling, and as charged
  double othersByCounter, othersByGossip, othersCharged;
  double[] gossipByNode; // by each node of the customer's set
  final ArrayDeque<CounterCall> calls = new ArrayDeque<>();
}
