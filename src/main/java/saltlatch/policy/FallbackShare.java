package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.membership.QuotaShares;

/**
 * Determines the part of a customer's quota that this node may use while neither the counter nor
 * peers report usage.
 *
 * <p>If membership is enabled, it is the share that this node's lease allows
 * ({@link QuotaShares#ownShare}). These shares sum to at most one over all nodes unless
 * {@link #MIN_SHARE} raises one of them, which cannot happen for customers of up to 25 nodes.
 * Without membership, it is the share that {@link PeerUsage} has learned. While the fallback share
 * is in use, {@link AvailableUnits} refills and limits only this part of the quota. Amounts are
 * units.
 *
 * <p>The fallback share ends with the next total of the counter or the next message of a peer. The
 * customer is then charged for what this node admitted. What other nodes admitted on their shares
 * appears in totals as far as it was counted in time; the rest is extrapolated from this node's own
 * admissions. Extrapolating all of it would reject requests after an outage although capacity is
 * left.
 */
final class FallbackShare {
  /** The smallest share; a share of 0 would cause a division by 0 when it ends. */
  static final double MIN_SHARE = 0.01;

  /**
   * Number of standard deviations, each the square root of the burst, by which the random usage of
   * many nodes may exceed the burst.
   */
  private static final double BURST_STANDARD_DEVIATIONS = 2;

  /**
   * Units added to that, because the square root says little about the deviation of a small burst.
   */
  private static final double DEVIATION_MARGIN_UNITS = 2;

  private final boolean hasCounter;
  private final SplittableRandom random;
  private QuotaShares shares; // null: membership is disabled

  /**
   * Creates the rule.
   *
   * @param hasCounter whether the deployment has a counter
   * @param random     the engine's random generator
   */
  FallbackShare(boolean hasCounter, SplittableRandom random) {
    this.hasCounter = hasCounter;
    this.random = random;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /** Determines the share for its start; {@link #scale} then applies it to the available units. */
  void begin(CustomerQuota customer, long now) {
    customer.admittedOnFallbackShare = 0;
    customer.fallbackShare = shares == null ? customer.learnedShare : leaseShare(customer, now);
  }

  /** Reduces the available units to the share that has begun. */
  void scale(CustomerQuota customer, double requestUnits) {
    customer.availableUnits *= customer.fallbackShare;
    if (isBelowOneRequest(customer)) {
      offsetStart(customer, requestUnits);
    }
  }

  /**
   * Adjusts a share in use to this node's lease. If the share shrinks, the available units shrink
   * in proportion. If it grows, only the refill grows, because it is not known what other nodes
   * have left.
   */
  void updateShare(CustomerQuota customer, long now) {
    double share = leaseShare(customer, now);
    if (share < customer.fallbackShare && customer.availableUnits > 0) {
      customer.availableUnits *= share / customer.fallbackShare;
    }
    customer.fallbackShare = share;
  }

  /**
   * Ends the share, if one is in use: the available units represent the full quota again.
   *
   * @param countedFraction fraction of the admitted units that totals include in time
   */
  void end(CustomerQuota customer, double countedFraction) {
    if (customer.isOnFallbackShare()) {
      // The offset is not usage: divided by a small share, it would become a debt of many bursts.
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
   * Returns whether the share is so small that one request of each node exceeds the quota and its
   * random deviation. Any available units above 0 admit a request of any size, so that without a
   * counter a large number of nodes would exceed the quota.
   */
  private boolean isBelowOneRequest(CustomerQuota customer) {
    double burstUnits = customer.plan.burstUnits();
    double maxUnits = burstUnits + BURST_STANDARD_DEVIATIONS * Math.sqrt(burstUnits)
        + DEVIATION_MARGIN_UNITS;
    return !hasCounter && customer.fallbackShare * maxUnits < 1;
  }

  /**
   * Subtracts a random part of one request from the available units, so that all nodes together
   * admit what the sum of their shares allows.
   */
  private void offsetStart(CustomerQuota customer, double requestUnits) {
    customer.startOffset = requestUnits * random.nextDouble();
    customer.availableUnits -= customer.startOffset;
  }
}
