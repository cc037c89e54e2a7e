package saltlatch.policy;

/** The pending final answer of a request. */
enum RequestOutcome {
  /** No final answer is pending. */
  NONE,
  /** The request is rejected; the client may safely send it again. */
  REJECTED,
  /** The request has failed; it may have been executed. */
  FAILED
}
