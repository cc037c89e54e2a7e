package saltlatch.lab.capacity;

/** Series of scale test measurements that the formulas use, and what one value of each counts. */
public enum Series {
  LIST_START("list.start", "a node from its start until it holds the list"),
  LIST_REST("list.rest", "a node a second, while nothing changes"),
  LIST_CHANGE("list.change", "a node for a change of one app server"),
  PLANS_START("plans.start", "a node from its start until it serves"),
  PLANS_ENDS("plans.ends", "the most plans with which a node started"),
  WATCHERS_REST("watchers.rest", "one discovery stand-in a second, while nothing changes"),
  WATCHERS_CHANGE("watchers.change", "one discovery stand-in for a change"),
  WATCHERS_WHOLE("watchers.whole", "one discovery stand-in for a whole list to every watcher"),
  MEMBERS_BEGIN("members.begin",
      "the fleet from a start of all until all agree, virtual time, no loss"),
  MEMBERS_REST("members.rest", "a node a second, while nobody fails; its network is in memory"),
  MEMBERS_FAILURE("members.failure",
      "the fleet, from a death until all hold it failed, virtual time, no loss"),
  COUNTER_CALLS("counter.calls", "a node a second, customers far from their quotas"),
  REQUESTS("requests.rate", "a node a second; latency is what it adds"),
  REQUESTS_LATE("requests.late", "the load tool: how late it sent"),
  MODULE_REQUEST("module.request", "the decision module for a request, no sockets"),
  MODULE_CHANGE("module.change", "the decision module for a change of one app server, no sockets"),
  SUMS_JAM("sums.jam", "a node a second while the counter is in a jam"),
  FLEET_CHANGE("fleet.change",
      "hollow nodes on one discovery stand-in: a change until in force; processor time is the stand-in's"),
  FLEET_NODE("fleet.node", "one of these hollow nodes, a second"),
  RELAY_DAY("relay.day",
      "hollow nodes behind relays: a change until in force, and a node a second, at an ordinary day's rate"),
  RELAY_DAY_LOWER("relay.day.lower", "one of the relays that these nodes follow, a second"),
  RELAY_CHANGE("relay.change", "the same at 2 changes a second"),
  RELAY_CHANGE_LOWER("relay.change.lower", "one of the relays that these nodes follow, a second"),
  RELAY_CHANGE_UPPER("relay.change.upper", "one of the relays that follow the source, a second"),
  RELAY_KILLED("relay.killed", "the same while one of the relays that nodes follow is killed"),
  RELAY_KILLED_LOWER("relay.killed.lower", "one of the relays left, a second"),
  RELAY_START("relay.start300", "hollow nodes that start at once: from the start to the list"),
  RELAY_START_LOWER("relay.start300.lower",
      "one of the relays that they follow, a second until all have it"),
  RELAY_DIRECT("relay.direct", "the same nodes on the source itself, at 2 changes a second"),
  RELAY_DIRECT_SOURCE("relay.direct.source", "the source, a second"),
  RELAY_DIRECT_START("relay.direct.start300", "nodes that start at once on the source itself");

  private final String id;
  private final String description;

  Series(String id, String description) {
    this.id = id;
    this.description = description;
  }

  /** Returns the name used in the measurements. */
  public String id() {
    return id;
  }

  /** Returns what one value counts, as shown on the page. */
  public String description() {
    return description;
  }
}
