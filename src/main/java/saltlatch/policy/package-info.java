/**
 * The decisions of a gateway node: which request is admitted, where its attempts go, when it is
 * tried again and how it ends. One class a rule; docs/design.md gives the order in which a request
 * meets them.
 *
 * <ul>
 * <li>{@link saltlatch.policy.PolicyEngine} builds the rules and hands events on;
 * {@link saltlatch.policy.RequestLifecycle} is the way of a request;
 * {@link saltlatch.policy.ActionEmitter} emits.
 * <li>Rejected requests: {@link saltlatch.policy.AdmissionControl},
 * {@link saltlatch.policy.LoadShedding}, {@link saltlatch.policy.ClientRetryDetection},
 * {@link saltlatch.policy.RetryAfterAdvice}.
 * <li>Quotas: {@link saltlatch.policy.QuotaManager}, whose comment names the rules of who may use
 * which part, and {@link saltlatch.policy.QuotaGossip}.
 * <li>The counter: {@link saltlatch.policy.QuotaCharges},
 * {@link saltlatch.policy.QuantileReservation}, {@link saltlatch.policy.CounterHealth}.
 * <li>App servers: {@link saltlatch.policy.ServerList},
 * {@link saltlatch.policy.WeightedRoundRobinLoadBalancer},
 * {@link saltlatch.policy.OutlierDetection}, {@link saltlatch.policy.SlowStart}.
 * <li>Further attempts and final answers: {@link saltlatch.policy.RetryPolicy},
 * {@link saltlatch.policy.RequestCompletion}.
 * <li>The node itself: {@link saltlatch.policy.TimerStallDetection},
 * {@link saltlatch.policy.HousekeepingSchedule}, {@link saltlatch.policy.EndpointWatch}.
 * </ul>
 *
 * <p>May import {@code saltlatch.api} and {@code saltlatch.membership}. Hosts make a
 * {@link saltlatch.policy.PolicyEngine} and know no other class.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: the engine and all its state belong
 * to the host's thread, and the time is handed in. Times are in
 * {@linkplain saltlatch.api.Ticks ticks}. Each group of fields has a rule that it belongs to, which
 * the comment of the state class names with other writers. Replayed events give the same actions to
 * the bit, so the order of sums, of random draws and of iteration is part of a rule.
 */
package saltlatch.policy;
