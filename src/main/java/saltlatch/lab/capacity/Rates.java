package saltlatch.lab.capacity;

import saltlatch.lab.scale.Quantity;

/** Rates at the target that several roles share. */
final class Rates {
  private static final double DAY = 86_400; // s

  private final CapacityModel model;

  Rates(CapacityModel model) {
    this.model = model;
  }

  /**
   * Changes a second of an ordinary day that reach every node: of the configuration, and of app
   * servers restarted.
   */
  Figure changes() {
    return model.input(Input.CHANGES_PER_DAY).plus(listChangesPerDay()).times(1 / DAY);
  }

  /** Changes a second of the busiest minute. */
  Figure peakChanges() {
    return model.input(Input.PEAK_CHANGES_PER_SECOND).plus(listChangesPerDay().times(1 / DAY));
  }

  /** Restarts fall on app servers as they do on edge nodes, by their number. */
  private Figure listChangesPerDay() {
    Figure appServers = model.input(Input.APP_SERVERS);
    Figure part = appServers.dividedBy(appServers.plus(model.input(Input.EDGE_NODES)));
    return model.input(Input.RESTARTS_PER_DAY).times(part)
        .times(model.input(Input.LIST_CHANGES_PER_RESTART));
  }

  /** Requests a second at an app server, at the peak. */
  Figure peakRequestsPerAppServer() {
    return model.input(Input.REQUESTS_PER_SECOND).dividedBy(model.input(Input.APP_SERVERS))
        .times(model.input(Input.APP_SERVER_OVER_MEAN));
  }

  /** Requests a second at a node, at the peak. */
  Figure peakRequestsPerNode() {
    return model.input(Input.REQUESTS_PER_SECOND).dividedBy(model.input(Input.EDGE_NODES))
        .times(model.input(Input.NODE_OVER_MEAN));
  }

  /** Requests a second at a node, in the mean of an ordinary day. */
  Figure dayRequestsPerNode() {
    return peakRequestsPerNode().times(model.input(Input.DAY_MEAN_OVER_PEAK));
  }

  /** Calls a second of a node to the counter at so many requests a second. */
  Figure counterCalls(Figure requests) {
    return model.at(Series.COUNTER_CALLS, Quantity.MESSAGES_OUT, requests)
        .orElse(requests.times(model.input(Input.COUNTER_CALLS_PER_REQUEST)));
  }

  /** Bytes a second of a node's calls to the counter, both ways, at so many requests a second. */
  Figure counterBytes(Figure requests) {
    return model.at(Series.COUNTER_CALLS, Quantity.BYTES_OUT, requests)
        .plus(model.at(Series.COUNTER_CALLS, Quantity.BYTES_IN, requests))
        .orElse(assumedCounterBytes(requests));
  }

  /** The same by the assumptions alone. */
  Figure assumedCounterBytes(Figure requests) {
    return requests.times(model.input(Input.COUNTER_CALLS_PER_REQUEST))
        .times(model.input(Input.COUNTER_BYTES_PER_CALL));
  }

  /** Pairs of a node and an app server between which a connection is used. */
  Figure pairsPerNode() {
    return model.input(Input.SERVICES_PER_NODE).times(model.input(Input.SERVERS_KEPT_PER_SERVICE));
  }

  /** Relays that nodes follow. */
  Figure lastTier() {
    return model.input(Input.CONTROL_MACHINES).minus(model.input(Input.FIRST_TIER_RELAYS));
  }

  /** Bytes of a whole list. */
  Figure listBytes() {
    return model.at(Series.LIST_START, Quantity.BYTES_IN, Input.APP_SERVERS);
  }
}
