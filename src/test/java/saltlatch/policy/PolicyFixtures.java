package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;
import saltlatch.api.GatewaySettings;

/** Settings, requests and endpoint lists for the tests of single rules. Times are in ticks. */
final class PolicyFixtures {
  static final GatewaySettings SETTINGS = settings(2);
  static final GatewaySettings.Limits LIMITS = SETTINGS.limits();

  private PolicyFixtures() {}

  static GatewaySettings settings(int nodes) {
    return DecisionTrace.settings(7, nodes, DecisionTrace.QUOTA, false, false);
  }

  /** Returns a request of one unit that arrives at tick 0 with a client timeout of 3 s. */
  static RequestState request(GatewaySettings.RequestClass requestClass) {
    return request(requestClass, 1);
  }

  static RequestState request(GatewaySettings.RequestClass requestClass, double priorityWeight) {
    CustomerQuota customer = new CustomerQuota(9,
        new GatewaySettings.QuotaPlan(2, 6, 0, 0, 0, priorityWeight), 0);
    customer.nodeCount = 2;
    RequestState request = new RequestState(arrival(30_000, false),
        new RequestClassStats(requestClass), customer);
    request.deadlineTicks = 30_000;
    return request;
  }

  static GatewayEvent.RequestArrived arrival(long clientTimeoutTicks, boolean retry) {
    return new GatewayEvent.RequestArrived(1, 0, 0, 9, clientTimeoutTicks, 1, 2, 0, retry, 0);
  }

  static GatewayEvent.Endpoint endpoint(long id, EndpointState state, double weight) {
    return new GatewayEvent.Endpoint(id, 0, 0, 1, state, weight, 0);
  }

  static GatewayEvent.EndpointsUpdated snapshot(GatewayEvent.Endpoint... endpoints) {
    return new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, List.of(endpoints));
  }

  /** Returns a snapshot of the servers 0 to count - 1, all ready and warm. */
  static GatewayEvent.EndpointsUpdated readyServers(int count) {
    List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
    for (int id = 0; id < count; id++) {
      endpoints.add(endpoint(id, EndpointState.READY, 1));
    }
    return new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.SNAPSHOT, endpoints);
  }
}
