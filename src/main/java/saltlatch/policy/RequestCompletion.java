package saltlatch.policy;

/**
 * Wants a request's final answer. A rejection becomes a failure where the client could do harm by
 * sending the request again ({@link RetryPolicy}); what was charged for a request that was never
 * sent is given back. Whoever calls it marks the request as changed.
 */
final class RequestCompletion {
  private final QuotaCharges charges;
  private final RetryAfterAdvice retryAfter;

  RequestCompletion(QuotaCharges charges, RetryAfterAdvice retryAfter) {
    this.charges = charges;
    this.retryAfter = retryAfter;
  }

  /** Rejects a request that is out of time; its client has no time to come back either. */
  void rejectLate(RequestState request) {
    reject(request, 0);
  }

  /** Rejects a request that its customer's quota has no room for. */
  void rejectWithoutQuota(RequestState request, long now) {
    reject(request, retryAfter.withoutQuota(request, now));
  }

  /**
   * Rejects a request that can't be served now: concurrency cap, ceiling, overload, no app server,
   * or no further attempt is allowed.
   */
  void rejectWithoutCapacity(RequestState request) {
    reject(request, retryAfter.withoutCapacity());
  }

  private void reject(RequestState request, long retryAfterTicks) {
    RequestOutcome end = RetryPolicy.isRejectSafe(request) ? RequestOutcome.REJECTED
        : RequestOutcome.FAILED;
    finish(request, end, retryAfterTicks);
  }

  /** Fails a request: it may have been executed. */
  void fail(RequestState request) {
    finish(request, RequestOutcome.FAILED, 0);
  }

  private void finish(RequestState request, RequestOutcome end, long retryAfterTicks) {
    if (request.admitted && request.attemptCount == 0 && request.window != null) {
      charges.refund(request);
    }
    request.pendingOutcome = end;
    request.retryAfterTicks = retryAfter.limited(retryAfterTicks);
  }
}
