package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * Nodes that a limit on what all nodes may do together is divided by: those of the settings, or
 * where nodes know each other as many as their membership says. Owned by {@link PolicyEngine}.
 */
final class FleetSize {
  private final int configuredNodes;
  /** Null: nodes don't know each other. */
  private QuotaShares shares;

  FleetSize(int configuredNodes) {
    this.configuredNodes = configuredNodes;
  }

  void setQuotaShares(QuotaShares shares) {
    this.shares = shares;
  }

  /** At least 1. */
  int nodes() {
    return shares == null ? Math.max(1, configuredNodes) : shares.divisorNodeCount();
  }
}
