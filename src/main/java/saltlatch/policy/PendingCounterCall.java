package saltlatch.policy;

/**
 * A counter call that is queued or in flight, held until its reply arrives. Owned by
 * {@link QuotaCharges}.
 *
 * @param window      the window whose count the call adds to
 * @param request     the request that waits for the total; null if the call only reports units
 * @param units       units to add; negative if units are refunded
 * @param sentAtTicks when the call was queued, in ticks
 */
record PendingCounterCall(QuotaWindow window, RequestState request, double units,
    long sentAtTicks) {}
