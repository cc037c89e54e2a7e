package saltlatch.policy;

/**
 * Sets the final answer of a request. A rejection becomes a failure if it would not be safe for the
 * client to send the request again ({@link RetryPolicy}). The charge for a request that was never
 * sent to an app server is refunded. The caller must mark the request as changed.
 */
final class RequestCompletion {
  private final QuotaCharges charges;
  private final RetryAfterAdvice retryAfter;

  RequestCompletion(QuotaCharges charges, RetryAfterAdvice retryAfter) {
    this.charges = charges;
    this.retryAfter = retryAfter;
  }

  /**
   * Rejects a request whose deadline has passed, without Retry-After: the client has no time left
   * for a retry.
   */
  void rejectLate(RequestState request) {
    reject(request, 0);
  }

  /** Rejects a request for which its customer's quota has no capacity. */
  void rejectWithoutQuota(RequestState request, long now) {
    reject(request, retryAfter.withoutQuota(request, now));
  }

  /**
   * Rejects a request that cannot be served now because of the concurrency cap, the hard ceiling or
   * overload, or because no app server is available or no further attempt is allowed.
   */
  void rejectWithoutCapacity(RequestState request) {
    reject(request, retryAfter.withoutCapacity());
  }

  private void reject(RequestState request, long retryAfterTicks) {
    RequestOutcome outcome = RetryPolicy.isRejectSafe(request) ? RequestOutcome.REJECTED
        : RequestOutcome.FAILED;
    finish(request, outcome, retryAfterTicks);
  }

  /** Fails a request that may have been executed. */
  void fail(RequestState request) {
    finish(request, RequestOutcome.FAILED, 0);
  }

  private void finish(RequestState request, RequestOutcome outcome, long retryAfterTicks) {
    if (request.admitted && request.attemptCount == 0 && request.window != null) {
      charges.refund(request);
    }
    request.pendingOutcome = outcome;
    request.retryAfterTicks = retryAfter.limited(retryAfterTicks);
  }
}
