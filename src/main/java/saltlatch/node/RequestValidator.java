package saltlatch.node;

import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.state.ClientRequest;

/**
 * Whether the settings know a request as it came. Guards against a stranger who charges a customer
 * a huge amount or names nodes that are not there: the customer's own requests would be rejected
 * for it. What is not valid fails before the policy or the counter see it. Immutable.
 */
final class RequestValidator {
  private final GatewaySettings settings;
  private final double maxUnits;

  RequestValidator(GatewaySettings settings, double maxUnits) {
    this.settings = settings;
    this.maxUnits = maxUnits;
  }

  /** {@code requestClass} and {@code plan}: the numbers of its names, below 0 if not known. */
  boolean isValid(ClientRequest request, int requestClass, int plan) {
    if (requestClass < 0 || plan < 0) return false;
    return request.units() <= maxUnits && isKnownNodeSet(request)
        && isOfClass(request, settings.requestClasses().get(requestClass).retrySafety());
  }

  private boolean isKnownNodeSet(ClientRequest request) {
    return request.nodeCount() <= settings.nodeCount()
        && request.firstNode() < Math.max(1, settings.nodeCount());
  }

  private static boolean isOfClass(ClientRequest request, RetrySafety retrySafety) {
    return request.query() == (retrySafety == RetrySafety.IDEMPOTENT)
        && (request.hasIdempotencyKey() || retrySafety != RetrySafety.IDEMPOTENT_BY_KEY);
  }
}
