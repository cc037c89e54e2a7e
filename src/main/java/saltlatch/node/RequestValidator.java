package saltlatch.node;

import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.state.ClientRequest;

/**
 * Checks a request against the settings. An invalid request fails before it reaches the policy or
 * the counter. Otherwise anyone could charge a customer a huge number of units or name nonexistent
 * nodes, and the customer's legitimate requests would be rejected. Immutable.
 */
final class RequestValidator {
  private final GatewaySettings settings;
  private final double maxUnits;

  RequestValidator(GatewaySettings settings, double maxUnits) {
    this.settings = settings;
    this.maxUnits = maxUnits;
  }

  /** Returns whether it is valid; {@code requestClass} and {@code plan} are negative if unknown. */
  boolean isValid(ClientRequest request, int requestClass, int plan) {
    if (requestClass < 0 || plan < 0) return false;
    return request.units() <= maxUnits && isExistingNodeSet(request)
        && matchesRetrySafety(request, settings.requestClasses().get(requestClass).retrySafety());
  }

  private boolean isExistingNodeSet(ClientRequest request) {
    return request.nodeCount() <= settings.nodeCount()
        && request.firstNode() < Math.max(1, settings.nodeCount());
  }

  private static boolean matchesRetrySafety(ClientRequest request, RetrySafety retrySafety) {
    return request.query() == (retrySafety == RetrySafety.IDEMPOTENT)
        && (request.hasIdempotencyKey() || retrySafety != RetrySafety.IDEMPOTENT_BY_KEY);
  }
}
