package saltlatch.lab.capacity;

/** What comes of a wall once it is reached, the worst first. */
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

  /** Its name on the page. */
  public String title() {
    return title;
  }
}
