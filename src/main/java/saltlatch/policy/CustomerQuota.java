package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/** Lives until a customer is unseen for a minute, longer while its ceiling's part is not full. */
final class CustomerQuota {
  long id, lastRequestAt;
  GatewaySettings.QuotaPlan plan;
  QuotaWindow window;
  int inFlight, nodeCount, firstNode;
  double othersUsage; // fading: what the others passed
  // units this node may pass of a store that has no room for all that may come
  double refillAllowance;
  long othersUsageAt, refillAllowanceAt;
  // learned part of its use that comes through this node, half an even one at least
  double learnedShare;
  // units its quota has left, as the totals seen show it; the share of it while alone
  double availableUnits;
  long availableUnitsAt;
  // units passed without the counter since its last answer; below 0: not alone
  double admittedWithoutCounter = -1;
  double shareWithoutCounter; // part of the quota that the room stands for while alone
  // units taken off that room for a place on the way to the next req; passed by nobody
  double startOffset;
  double gossipShare = 1; // the same while peers are heard: the part of those that hear each other
  double usageWhileSplit; // units they passed while that was below 1
  double admittedWhilePeersSilent; // units this node passed while some peer was overdue
  double presumedPeerUsage; // units those peers are taken to have passed meanwhile, until they say
  long lastTotalAt = QuotaGossip.NEVER; // of the last total
  boolean exhausted; // a window's count reached the limit and the quota has not filled again since
  double ceilingUnits; // this node's part of the hard ceiling
  long ceilingUnitsAt;
  QuantileReservation[] estimates; // by request class
}
