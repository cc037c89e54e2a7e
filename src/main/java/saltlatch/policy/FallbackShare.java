package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.membership.QuotaShares;

/**
 * The part of a customer's quota that this node goes by while neither the counter nor peers report.
 *
 * <p>Where nodes know each other by membership it is the node's share by lease
 * ({@link QuotaShares#ownShare}), which sums to at most one over all nodes as long as no share
 * falls below {@link #MIN_SHARE}: certain for customers of up to 25 nodes. Else it is the share
 * that {@link PeerUsage} has learned. While the share is in use, {@link AvailableUnits} refills
 * and bounds that part only. Amounts are units.
 *
 * <p>The share ends with the next total of the counter or the next message of a peer. Then the
 * customer is charged what this node admitted; what others admitted on their shares shows in
 * totals, as far as it was counted in time, and the rest is extrapolated from this node's own.
 * Charging all of it by extrapolation too would reject requests with capacity left after an outage.
 */
final class FallbackShare {
  /** A share of nothing would divide by nothing when it ends. */
  static final double MIN_SHARE = 0.01;

  /** Roots of the burst that chance adds to the use of many nodes: two standard deviations. */
  private static final double CHANCE_BURST_ROOTS = 2;

  /** Chance of bursts so small that their root says little. */
  private static final double CHANCE_UNITS = 2;

  private final boolean hasCounter;
  private final SplittableRandom random;
  private QuotaShares shares; // null: nodes do not know each other

  /**
   * @param hasCounter whether the deployment has a counter at all
   * @param random     the engine's generator
   */
  FallbackShare(boolean hasCounter, SplittableRandom random) {
    this.hasCounter = hasCounter;
    this.random = random;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /** Picks the share; {@link #scale} puts it to use. */
  void begin(CustomerQuota customer, long now) {
    customer.admittedOnFallbackShare = 0;
    customer.fallbackShare = shares == null ? customer.learnedShare : leaseShare(customer, now);
  }

  /** Cuts the available units to the share that has begun. */
  void scale(CustomerQuota customer, double requestUnits) {
    customer.availableUnits *= customer.fallbackShare;
    if (isBelowOneRequest(customer)) {
      offsetStart(customer, requestUnits);
    }
  }

  /**
   * Follows the leases of a share in use. A smaller one keeps its part of what is left. Of a larger
   * one only the refill grows: what other nodes have left is not known.
   */
  void updateShare(CustomerQuota customer, long now) {
    double share = leaseShare(customer, now);
    if (share < customer.fallbackShare && customer.availableUnits > 0) {
      customer.availableUnits *= share / customer.fallbackShare;
    }
    customer.fallbackShare = share;
  }

  /**
   * Ends the share, if one is in use: the available units stand for the whole quota again.
   *
   * @param countedFraction part of what is admitted that totals show in time
   */
  void end(CustomerQuota customer, double countedFraction) {
    if (customer.isOnFallbackShare()) {
      // The offset is no usage: divided by a small share it would become many bursts of debt.
      customer.availableUnits = Math.min(customer.plan.burstUnits() * customer.fallbackShare,
          customer.availableUnits + customer.startOffset);
      customer.startOffset = 0;
      customer.availableUnits = (customer.availableUnits
          + customer.admittedOnFallbackShare * countedFraction) / customer.fallbackShare
          - customer.admittedOnFallbackShare * countedFraction + customer.presumedPeerUsage;
      customer.presumedPeerUsage = 0;
    }
    customer.admittedOnFallbackShare = -1;
  }

  private double leaseShare(CustomerQuota customer, long now) {
    return Math.max(MIN_SHARE, shares.ownShare(now, customer.firstNode, customer.nodeCount));
  }

  /**
   * Any available units above 0 admit a whole request. Guards, where there is no counter, against
   * so many nodes that one request of each exceeds the quota and what chance adds to it.
   */
  private boolean isBelowOneRequest(CustomerQuota customer) {
    double burstUnits = customer.plan.burstUnits();
    double maxUnits = burstUnits + CHANCE_BURST_ROOTS * Math.sqrt(burstUnits) + CHANCE_UNITS;
    return !hasCounter && customer.fallbackShare * maxUnits < 1;
  }

  /**
   * Starts this node at a random place on the way to its next request, so that all nodes together
   * admit what their shares hold.
   */
  private void offsetStart(CustomerQuota customer, double requestUnits) {
    customer.startOffset = requestUnits * random.nextDouble();
    customer.availableUnits -= customer.startOffset;
  }
}
