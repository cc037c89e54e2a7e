package saltlatch.lab.capacity;

/** The consequence of exceeding a scaling limit, in descending order of severity. */
public enum Consequence {
  STOPS("nodes don't start, or follow nothing"),
  WRONG_QUOTAS("quotas or shares are wrong"),
  LATE("changes are in force too late"),
  BUDGET("more than a budget, or slower"),
  UNSEEN("can't be shown");

  private final String title;

  Consequence(String title) {
    this.title = title;
  }

  /** Returns the name used on the page. */
  public String title() {
    return title;
  }
}
