package saltlatch.policy;

/** A count call; lives until its answer. */
record CounterCall(QuotaWindow window, RequestState request, double units, long sentAt) {}
