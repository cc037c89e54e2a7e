/**
 * Makes the decisions of a gateway node: which requests are admitted, which app servers receive
 * their attempts, when an attempt is retried, and how a request ends. Each rule is one class;
 * docs/design.md describes the order in which the rules apply to a request.
 *
 * <ul>
 * <li>Structure: {@link saltlatch.policy.PolicyEngine} builds the rules and passes events to them;
 * {@link saltlatch.policy.RequestLifecycle} handles a request from its arrival to its final answer;
 * {@link saltlatch.policy.ActionEmitter} emits the actions.
 * <li>Rejected requests: {@link saltlatch.policy.AdmissionControl},
 * {@link saltlatch.policy.LoadShedding}, {@link saltlatch.policy.ClientRetryDetection},
 * {@link saltlatch.policy.RetryAfterAdvice}.
 * <li>Quotas: {@link saltlatch.policy.QuotaManager}, whose comment lists the rules that determine
 * who may use which part, and {@link saltlatch.policy.QuotaGossip}.
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
 * <p>This package may import only {@code saltlatch.api} and {@code saltlatch.membership}. Hosts
 * create a {@link saltlatch.policy.PolicyEngine} and use no other class of it.
 *
 * <p>The package does no I/O, reads no clock and starts no thread: the engine and all its state are
 * confined to the host's thread, which passes in the time. Times are in
 * {@linkplain saltlatch.api.Ticks ticks}. Each group of fields belongs to one rule; the comment of
 * the state class names the rule and any other class that writes them. Replayed events must result
 * in bit-identical actions; therefore the order of sums, of random draws and of iteration is part
 * of each rule.
 */
package saltlatch.policy;
