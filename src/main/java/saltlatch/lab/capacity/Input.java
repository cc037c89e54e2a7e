package saltlatch.lab.capacity;

import java.util.Locale;

/**
 * The inputs of the formulas. docs/capacity/assumptions.toml gives the value, unit and reason of
 * each: values of the operators' target, constants of the source code, and this project's
 * assumptions.
 */
public enum Input {
  EDGE_NODES(Kind.TARGET),
  APP_SERVERS(Kind.TARGET),
  SERVICES(Kind.TARGET),
  REQUESTS_PER_SECOND(Kind.TARGET),
  ROUTES(Kind.TARGET),
  TENANTS(Kind.TARGET),
  ADDED_P99_MS(Kind.TARGET),
  REGIONS(Kind.TARGET),
  ZONES(Kind.TARGET),
  CHANGES_PER_DAY(Kind.TARGET),
  IN_FORCE_SECONDS(Kind.TARGET),
  NODE_CORE_PART(Kind.TARGET),
  NODE_MEMORY_BYTES(Kind.TARGET),
  NODE_BYTES_PER_SECOND(Kind.TARGET),
  CONTROL_MACHINES(Kind.TARGET),
  FAILURES_PER_DAY(Kind.TARGET),
  RESTARTS_PER_DAY(Kind.TARGET),

  NODE_OVER_MEAN(Kind.ASSUMPTION),
  APP_SERVER_OVER_MEAN(Kind.ASSUMPTION),
  DAY_MEAN_OVER_PEAK(Kind.ASSUMPTION),
  SERVICES_PER_NODE(Kind.ASSUMPTION),
  SERVERS_KEPT_PER_SERVICE(Kind.ASSUMPTION),
  IDLE_CLOSE_SECONDS(Kind.ASSUMPTION),
  PEAK_CHANGES_PER_SECOND(Kind.ASSUMPTION),
  LIST_CHANGES_PER_RESTART(Kind.ASSUMPTION),
  PLANS_PER_TENANT(Kind.ASSUMPTION),
  ZONE_STARTS(Kind.ASSUMPTION),
  REGION_CUT_SECONDS(Kind.ASSUMPTION),
  FIRST_TIER_RELAYS(Kind.ASSUMPTION),
  START_WITHIN_SECONDS(Kind.ASSUMPTION),
  HEAP_BYTES(Kind.CONSTANT),
  LIST_BOUND_BYTES(Kind.CONSTANT),
  SUMS_INTAKE_PART(Kind.CONSTANT),
  NETWORK_BYTES_PER_SECOND(Kind.ASSUMPTION),
  COUNTER_CALLS_PER_REQUEST(Kind.ASSUMPTION),
  COUNTER_BYTES_PER_CALL(Kind.ASSUMPTION),
  COUNTER_CALLS_PER_PROCESS(Kind.ASSUMPTION),
  COUNTER_BYTES_PER_TENANT(Kind.ASSUMPTION),
  DATAGRAMS_PER_SECOND(Kind.ASSUMPTION),
  TAKEOVER_WITHIN_SECONDS(Kind.ASSUMPTION),
  LOAD_TOOL_LATE_MS(Kind.ASSUMPTION),
  LATENESS_PART(Kind.ASSUMPTION),
  QUOTA_SLIP_PART(Kind.ASSUMPTION),
  SUBSET_SEED(Kind.ASSUMPTION);

  /** The origin of an input's value. */
  public enum Kind {
    /** A requirement of the operators. */
    TARGET,
    /** A constant of the source code, which the reason names. */
    CONSTANT,
    /** An assumption of this project; the file gives the reason. */
    ASSUMPTION
  }

  private final Kind kind;

  Input(Kind kind) {
    this.kind = kind;
  }

  /** Returns the origin of the value. */
  public Kind kind() {
    return kind;
  }

  /** Returns the name used in the file and on the page. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }
}
