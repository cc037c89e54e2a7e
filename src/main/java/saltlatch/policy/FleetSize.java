package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * The number of nodes by which limits on all nodes together are divided: that of the settings, or
 * that of the membership view if membership is enabled. Owned by {@link PolicyEngine}.
 */
final class FleetSize {
  private final int configuredNodes;
  /** Null if membership is disabled. */
  private QuotaShares shares;

  FleetSize(int configuredNodes) {
    this.configuredNodes = configuredNodes;
  }

  void setQuotaShares(QuotaShares shares) {
    this.shares = shares;
  }

  /** Returns the number of nodes; at least 1. */
  int nodes() {
    return shares == null ? Math.max(1, configuredNodes) : shares.divisorNodeCount();
  }
}
