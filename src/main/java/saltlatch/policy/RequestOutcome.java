package saltlatch.policy;

/** The final answer that is wanted for a request. */
enum RequestOutcome {
  /** None yet. */
  NONE,
  /** The client may send the request again without harm. */
  REJECTED,
  /** The request may have been executed. */
  FAILED
}
