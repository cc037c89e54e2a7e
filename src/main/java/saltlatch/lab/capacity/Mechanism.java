package saltlatch.lab.capacity;

/** A change to the system that removes a scaling limit. */
public enum Mechanism {
  RUNNING_SETTINGS("settings applied to a running node", "open, issue 28"),
  RELAYS("distribution through relays: `saltlatch.distribution`, `saltlatch relay`",
      "this sitting"),
  BOUNDED_LIST("the list bounded by entries and read as a stream", "this sitting"),
  KEPT_LIST("a list kept on disk, and only the changes since", "open"),
  PLANS_BY_DEMAND("plans of those tenants alone that a node serves", "open"),
  SUBSETS("subsets of app servers and of services for a node", "open"),
  DIVIDED_COUNTER("a counter divided by customer, fewer calls for a request", "open"),
  MEMBER_CELLS("membership in cells", "open"),
  REGIONAL_SHARES("shares of quotas for each region", "open"),
  FLEET_QUOTAS("quotas whose error does not grow with the nodes", "open, its own issue"),
  PUNCTUAL_LOAD("a load tool that is on time", "open, issue 14");

  private final String title;
  private final String state;

  Mechanism(String title, String state) {
    this.title = title;
    this.state = state;
  }

  /** Returns the name used on the page. */
  public String title() {
    return title;
  }

  /** Returns whether it is implemented, as shown on the page. */
  public String state() {
    return state;
  }
}
