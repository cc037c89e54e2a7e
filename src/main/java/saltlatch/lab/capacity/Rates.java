package saltlatch.lab.capacity;

import saltlatch.lab.scale.Quantity;

/** Rates at the target's size that several roles use. */
final class Rates {
  private static final double SECONDS_PER_DAY = 86_400;

  private final CapacityModel model;

  Rates(CapacityModel model) {
    this.model = model;
  }

  /**
   * Returns the changes per second that reach every node on an ordinary day: changes of the
   * configuration, and changes of the list due to restarts of app servers.
   */
  Figure changes() {
    return model.input(Input.CHANGES_PER_DAY).plus(listChangesPerDay()).times(1 / SECONDS_PER_DAY);
  }

  /** Returns the changes per second of the busiest minute. */
  Figure peakChanges() {
    return model.input(Input.PEAK_CHANGES_PER_SECOND)
        .plus(listChangesPerDay().times(1 / SECONDS_PER_DAY));
  }

  /**
   * Returns the list changes per day. Restarts are divided between app servers and edge nodes in
   * proportion to their numbers.
   */
  private Figure listChangesPerDay() {
    Figure appServers = model.input(Input.APP_SERVERS);
    Figure fraction = appServers.dividedBy(appServers.plus(model.input(Input.EDGE_NODES)));
    return model.input(Input.RESTARTS_PER_DAY).times(fraction)
        .times(model.input(Input.LIST_CHANGES_PER_RESTART));
  }

  /** Returns the requests per second at an app server at peak load. */
  Figure peakRequestsPerAppServer() {
    return model.input(Input.REQUESTS_PER_SECOND).dividedBy(model.input(Input.APP_SERVERS))
        .times(model.input(Input.APP_SERVER_OVER_MEAN));
  }

  /** Returns the requests per second at an edge node at peak load. */
  Figure peakRequestsPerNode() {
    return model.input(Input.REQUESTS_PER_SECOND).dividedBy(model.input(Input.EDGE_NODES))
        .times(model.input(Input.NODE_OVER_MEAN));
  }

  /** Returns the mean requests per second at an edge node on an ordinary day. */
  Figure dayRequestsPerNode() {
    return peakRequestsPerNode().times(model.input(Input.DAY_MEAN_OVER_PEAK));
  }

  /** Returns a node's counter calls per second at this number of requests per second. */
  Figure counterCalls(Figure requests) {
    return model.at(Series.COUNTER_CALLS, Quantity.MESSAGES_OUT, requests)
        .orElse(requests.times(model.input(Input.COUNTER_CALLS_PER_REQUEST)));
  }

  /**
   * Returns the bytes per second, in both directions, of a node's counter calls at this number of
   * requests per second.
   */
  Figure counterBytes(Figure requests) {
    return model.at(Series.COUNTER_CALLS, Quantity.BYTES_OUT, requests)
        .plus(model.at(Series.COUNTER_CALLS, Quantity.BYTES_IN, requests))
        .orElse(assumedCounterBytes(requests));
  }

  /** Returns the same as {@link #counterBytes}, computed from the assumptions alone. */
  Figure assumedCounterBytes(Figure requests) {
    return requests.times(model.input(Input.COUNTER_CALLS_PER_REQUEST))
        .times(model.input(Input.COUNTER_BYTES_PER_CALL));
  }

  /** Returns the number of app servers to which an edge node uses connections. */
  Figure pairsPerNode() {
    return model.input(Input.SERVICES_PER_NODE).times(model.input(Input.SERVERS_KEPT_PER_SERVICE));
  }

  /** Returns the number of relays in the tier that nodes follow. */
  Figure lastTier() {
    return model.input(Input.CONTROL_MACHINES).minus(model.input(Input.FIRST_TIER_RELAYS));
  }

  /** Returns the bytes of a complete list. */
  Figure listBytes() {
    return model.at(Series.LIST_START, Quantity.BYTES_IN, Input.APP_SERVERS);
  }
}
