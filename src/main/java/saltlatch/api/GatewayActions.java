package saltlatch.api;

/**
 * Carries out the decisions of a {@link GatewayPolicy}; implemented by its host. The policy calls
 * these methods on the host's thread while it handles events; the host must not pass events to the
 * policy from within such a call. The host reports each outcome with a {@link GatewayEvent}. Times
 * are in {@linkplain Ticks ticks}.
 */
public interface GatewayActions {
  /**
   * Sends a request to an app server. The attempts of a request are numbered from 0 in the order of
   * these calls; the host reports the end of each with a {@link GatewayEvent.AttemptEnded}.
   *
   * @param timeoutTicks how long the host waits for the attempt to end
   */
  void startAttempt(long requestId, long serverId, long timeoutTicks);

  /**
   * Sends the final answer that the request was rejected; the client may safely retry.
   *
   * @param retryAfterTicks how long the client should wait before it retries; 0 for no advice
   */
  void reject(long requestId, long retryAfterTicks);

  /** Sends the final answer that the request failed; it may have been executed. */
  void fail(long requestId);

  /**
   * Cancels an attempt in flight; the host still reports a {@link GatewayEvent.AttemptEnded} for
   * it.
   */
  void cancelAttempt(long requestId, int attempt);

  /**
   * Requests a {@link GatewayEvent.TimerFired} with this id.
   *
   * @param atTicks a point in time; if it has passed, the timer fires immediately
   */
  void setTimer(long atTicks, long timerId);

  /**
   * Probes an app server; the host reports a {@link GatewayEvent.HealthChecked}. Part of the hosts'
   * protocol, but not used by saltlatch.policy, which learns from attempts.
   */
  void checkHealth(long serverId);

  /** Closes connections to an app server that carry no attempt. Not used by saltlatch.policy. */
  void closeIdleConnections(long serverId);

  /**
   * Adds units to a named count of the counter; the host reports a
   * {@link GatewayEvent.CounterReplied}.
   *
   * @param units        the units to add; negative to refund, 0 to read the total
   * @param ttlTicks     how long after its first call the counter deletes the count
   * @param timeoutTicks how long the host waits for the reply; if the timeout in the host's
   *     settings is longer, that one applies. The simulator uses only the one in its settings.
   */
  void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks);

  /**
   * Opens or closes the watch of the endpoint list, if the deployment leaves that to the policy.
   */
  void watchEndpoints(boolean on);

  /**
   * Sends a datagram to a peer. The datagram may be lost, and no event reports its outcome.
   *
   * @param peer the node's number in the fleet
   */
  void sendGossip(int peer, GossipMessage message);

  /** Writes a line to the node's log. */
  void log(String text);
}
