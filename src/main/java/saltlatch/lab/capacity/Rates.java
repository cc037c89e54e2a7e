package saltlatch.lab.capacity;

import saltlatch.lab.scale.Quantity;

/** Rates at the target that several roles share. */
final class Rates {
  private static final double DAY = 86_400; // s

  private final Basis basis;

  Rates(Basis basis) {
    this.basis = basis;
  }

  /**
   * Changes a second of an ordinary day that reach every node: of the configuration, and of app
   * servers restarted.
   */
  Figure changes() {
    return basis.in(Input.CHANGES_PER_DAY).plus(listChangesPerDay()).times(1 / DAY);
  }

  /** Changes a second of the busiest minute. */
  Figure peakChanges() {
    return basis.in(Input.PEAK_CHANGES_PER_SECOND).plus(listChangesPerDay().times(1 / DAY));
  }

  /** Restarts fall on app servers as they do on edge nodes, by their number. */
  private Figure listChangesPerDay() {
    Figure appServers = basis.in(Input.APP_SERVERS);
    Figure part = appServers.over(appServers.plus(basis.in(Input.EDGE_NODES)));
    return basis.in(Input.RESTARTS_PER_DAY).times(part)
        .times(basis.in(Input.LIST_CHANGES_PER_RESTART));
  }

  /** Requests a second at an app server, at the peak. */
  Figure peakRequestsPerAppServer() {
    return basis.in(Input.REQUESTS_PER_SECOND).over(basis.in(Input.APP_SERVERS))
        .times(basis.in(Input.APP_SERVER_OVER_MEAN));
  }

  /** Requests a second at a node, at the peak. */
  Figure peakRequestsPerNode() {
    return basis.in(Input.REQUESTS_PER_SECOND).over(basis.in(Input.EDGE_NODES))
        .times(basis.in(Input.NODE_OVER_MEAN));
  }

  /** Requests a second at a node, in the mean of an ordinary day. */
  Figure dayRequestsPerNode() {
    return peakRequestsPerNode().times(basis.in(Input.DAY_MEAN_OVER_PEAK));
  }

  /** Calls a second of a node to the counter at so many requests a second. */
  Figure counterCalls(Figure requests) {
    return basis.at(Series.COUNTER_CALLS, Quantity.MESSAGES_OUT, requests)
        .or(requests.times(basis.in(Input.COUNTER_CALLS_PER_REQUEST)));
  }

  /** Bytes a second of a node's calls to the counter, both ways, at so many requests a second. */
  Figure counterBytes(Figure requests) {
    return basis.at(Series.COUNTER_CALLS, Quantity.BYTES_OUT, requests)
        .plus(basis.at(Series.COUNTER_CALLS, Quantity.BYTES_IN, requests))
        .or(assumedCounterBytes(requests));
  }

  /** The same by the assumptions alone. */
  Figure assumedCounterBytes(Figure requests) {
    return requests.times(basis.in(Input.COUNTER_CALLS_PER_REQUEST))
        .times(basis.in(Input.COUNTER_BYTES_PER_CALL));
  }

  /** Pairs of a node and an app server between which a connection is used. */
  Figure pairsPerNode() {
    return basis.in(Input.SERVICES_PER_NODE).times(basis.in(Input.SERVERS_KEPT_PER_SERVICE));
  }

  /** Relays that nodes follow. */
  Figure lastTier() {
    return basis.in(Input.CONTROL_MACHINES).minus(basis.in(Input.FIRST_TIER_RELAYS));
  }

  /** Bytes of a whole list. */
  Figure listBytes() {
    return basis.at(Series.LIST_START, Quantity.BYTES_IN, Input.APP_SERVERS);
  }
}
