package saltlatch.policy;

/**
 * A counter call in flight, or wanted; lives until its reply. Kept by {@link QuotaCharges}.
 *
 * @param window  the window whose count is added to
 * @param request the request that waits for the total; null where units are only carried
 * @param units   what is added, below 0 where units are given back
 * @param sentAtTicks  when it was wanted, in ticks
 */
record PendingCounterCall(QuotaWindow window, RequestState request, double units,
    long sentAtTicks) {}
