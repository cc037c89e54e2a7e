package saltlatch.lab.capacity;

/** The operating condition that a figure applies to. */
public enum LoadCondition {
  ORDINARY("ordinary day"),
  PEAK("peak"),
  ZONE_STARTS("nodes of a zone start at once"),
  REGION_RETURNS("a region returns"),
  COUNTER_EMPTY("the counter is empty"),
  MACHINE_LOST("one control machine lost");

  private final String title;

  LoadCondition(String title) {
    this.title = title;
  }

  /** Returns the name used on the page. */
  public String title() {
    return title;
  }
}
