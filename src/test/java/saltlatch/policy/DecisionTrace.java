package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * Passes events to one engine and records each event and action as a line of text. Tests compare
 * the lines with an expected trace. Times in the lines are in milliseconds; those of fields and
 * parameters are in ticks.
 */
final class DecisionTrace implements GatewayActions {
  static final GatewaySettings.QuotaPlan QUOTA = new GatewaySettings.QuotaPlan(2, 6, 0, 0, 0, 1);
  static final GatewaySettings.QuotaPlan NO_QUOTA = new GatewaySettings.QuotaPlan(0, 0, 0, 0, 0, 1);
  static final GatewaySettings.RequestClass IDEMPOTENT = requestClass(
      GatewaySettings.RetrySafety.IDEMPOTENT, GatewaySettings.KeyScope.ALL);
  static final GatewaySettings.RequestClass IDEMPOTENT_BY_KEY = requestClass(
      GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY, GatewaySettings.KeyScope.GROUP);
  static final GatewaySettings.RequestClass NOT_IDEMPOTENT = requestClass(
      GatewaySettings.RetrySafety.NOT_IDEMPOTENT, GatewaySettings.KeyScope.ALL);

  private final StringBuilder lines = new StringBuilder();
  private final List<long[]> timers = new ArrayList<>();
  private final Set<Long> attemptedRequests = new HashSet<>();
  private final ArrayDeque<Long> pendingCounterCalls = new ArrayDeque<>();
  private PolicyEngine engine;
  /** The current time. A trace starts at 60,000 ticks and prints them as 0 ms. */
  long now = 60_000;
  long clientTimeoutTicks = 30_000;
  /** How long each arriving request has waited unread. */
  long unreadTicks;
  /** Whether lines are omitted, for parts of a trace that are repetitive. */
  boolean muted;

  private static GatewaySettings.RequestClass requestClass(GatewaySettings.RetrySafety retrySafety,
      GatewaySettings.KeyScope keyScope) {
    return new GatewaySettings.RequestClass(retrySafety, keyScope, 20_000, 10_000, 30_000, 1);
  }

  static GatewaySettings settings(GatewaySettings.QuotaPlan plan, boolean actualUnits,
      boolean openWatch) {
    return settings(7, 2, plan, actualUnits, openWatch);
  }

  static GatewaySettings settings(long seed, int nodes, GatewaySettings.QuotaPlan plan,
      boolean actualUnits, boolean openWatch) {
    return settings(seed, nodes, plan, actualUnits, openWatch, 0, 0);
  }

  static GatewaySettings settings(long seed, int nodes, GatewaySettings.QuotaPlan plan,
      boolean actualUnits, boolean openWatch, int ownIndex, double datagramsPerSecond) {
    GatewaySettings.Limits limits = new GatewaySettings.Limits(openWatch, true, 4, true, 10_000,
        true, 100_000, 0.2, 4, 10_000);
    return new GatewaySettings(seed, nodes, 20, limits,
        new GatewaySettings.CounterSettings(true, actualUnits),
        new GatewaySettings.PeerSettings(ownIndex, datagramsPerSecond, 0),
        List.of(IDEMPOTENT, IDEMPOTENT_BY_KEY, NOT_IDEMPOTENT), List.of(plan));
  }

  DecisionTrace(GatewaySettings settings) {
    start(settings);
  }

  void start(GatewaySettings settings) {
    timers.clear();
    pendingCounterCalls.clear();
    engine = new PolicyEngine(now, settings, this);
  }

  /**
   * Replaces the endpoint list.
   *
   * @param servers app servers as "id/keyGroup", optionally followed by " starting" or " draining"
   */
  void updateServerList(String... servers) {
    List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
    for (String server : servers) {
      String[] parts = server.split("[/ ]", 0);
      boolean marked = parts.length > 2;
      endpoints.add(new GatewayEvent.Endpoint(Long.parseLong(parts[0]),
          marked && parts[2].equals("starting") ? now : 0, 0, Integer.parseInt(parts[1]),
          marked && parts[2].equals("draining") ? EndpointState.DRAINING : EndpointState.READY, 1,
          0));
    }
    addLine("listed " + String.join(", ", servers));
    deliver(new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, endpoints));
  }

  void requestArrives(long requestId, int requestClass, double units) {
    requestArrives(requestId, requestClass, units, false);
  }

  void requestArrives(long requestId, int requestClass, double units, boolean retry) {
    addLine("request " + requestId + " of class " + requestClass + ", units " + units
        + (retry ? ", a retry" : "")
        + (clientTimeoutTicks < 30_000 ? ", timeout " + clientTimeoutTicks / 10 : "")
        + (unreadTicks > 0 ? ", lay unread for " + unreadTicks / 10 : ""));
    deliver(new GatewayEvent.RequestArrived(requestId, requestClass, 0, 9, clientTimeoutTicks,
        units, 2, 0, retry, unreadTicks));
  }

  void counterReplies(double totalUnits) {
    addLine("counter total " + totalUnits);
    if (!pendingCounterCalls.isEmpty()) {
      deliver(counterReply(totalUnits));
    }
  }

  /** Returns the reply to the oldest counter call in flight, which it removes. */
  GatewayEvent counterReply(double totalUnits) {
    return new GatewayEvent.CounterReplied(pendingCounterCalls.poll(), AttemptOutcome.SUCCEEDED,
        totalUnits, 10);
  }

  void counterFails(AttemptOutcome outcome) {
    addLine("counter call " + outcome);
    if (!pendingCounterCalls.isEmpty()) {
      deliver(new GatewayEvent.CounterReplied(pendingCounterCalls.poll(), outcome, 0, 300));
    }
  }

  void endAttempt(long requestId, int attempt, AttemptOutcome outcome) {
    endAttempt(requestId, attempt, outcome, 0);
  }

  void endAttempt(long requestId, int attempt, AttemptOutcome outcome, double actualUnits) {
    addLine("attempt " + attempt + " of request " + requestId + " " + outcome);
    deliver(new GatewayEvent.AttemptEnded(requestId, 0, attempt, outcome,
        outcome == AttemptOutcome.SUCCEEDED, 0, actualUnits, 0, List.of()));
  }

  /** Passes events to the engine that all occur at the current time. */
  void deliver(GatewayEvent... events) {
    engine.handle(now, List.of(events));
  }

  /** Advances the time and fires each timer when it is due. */
  void advance(long ticks) {
    long until = now + ticks;
    while (true) {
      long[] next = null;
      for (long[] timer : timers) {
        next = timer[0] <= until && (next == null || timer[0] < next[0]) ? timer : next;
      }
      if (next == null) {
        break;
      }
      timers.remove(next);
      now = Math.max(now, next[0]);
      deliver(new GatewayEvent.TimerFired(next[1]));
    }
    now = until;
  }

  void addLine(String line) {
    if (!muted) {
      lines.append(String.format(Locale.ROOT, "%7.1f %s%n", (now - 60_000) / 10.0, line));
    }
  }

  /**
   * Asserts that the recorded trace equals the expected one. With -Dsaltlatch.record=true it first
   * replaces the file of the expected trace; review the changes before committing them.
   */
  void assertMatchesFile(String name) throws IOException {
    String actual = lines.toString();
    if (Boolean.getBoolean("saltlatch.record")) {
      Files.writeString(Path.of("src/test/resources/traces", name + ".txt"), actual);
    }
    try (InputStream in = DecisionTrace.class.getResourceAsStream("/traces/" + name + ".txt")) {
      assertEquals(in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8), actual);
    }
  }

  /** Returns whether any attempt of the request was started, also while lines were omitted. */
  boolean wasAttempted(long requestId) {
    return attemptedRequests.contains(requestId);
  }

  /** Returns how often a regular expression occurs in the recorded lines. */
  int occurrences(String pattern) {
    return lines.toString().split(pattern, -1).length - 1;
  }

  @Override
  public void startAttempt(long requestId, long serverId, long timeoutTicks) {
    attemptedRequests.add(requestId);
    addLine(
        "  -> attempt of request " + requestId + " to " + serverId + " for " + timeoutTicks / 10.0);
  }

  @Override
  public void reject(long requestId, long retryAfterTicks) {
    addLine("  -> reject request " + requestId
        + (retryAfterTicks > 0 ? ", retry after " + retryAfterTicks / 10.0 : ""));
  }

  @Override
  public void fail(long requestId) {
    addLine("  -> fail request " + requestId);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    addLine("  -> cancel attempt " + attempt + " of request " + requestId);
  }

  @Override
  public void setTimer(long atTicks, long timerId) {
    timers.add(new long[] {atTicks, timerId});
  }

  @Override
  public void checkHealth(long serverId) {
    addLine("  -> check health of " + serverId);
  }

  @Override
  public void closeIdleConnections(long serverId) {
    addLine("  -> close idle connections to " + serverId);
  }

  @Override
  public void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks) {
    pendingCounterCalls.add(counterName);
    addLine(String.format(Locale.ROOT, "  -> counter call, window %d: %+.2f, ttl %.0f",
        counterName & 0x7fffffffL, units, ttlTicks / 10.0));
  }

  @Override
  public void watchEndpoints(boolean on) {
    addLine("  -> watch endpoints " + on);
  }

  @Override
  public void sendGossip(int peer, GossipMessage message) {
    addLine("  -> gossip to " + peer + ", " + GossipCodec.encode(message).length + " bytes");
  }

  @Override
  public void log(String text) {
    addLine("  -> log " + text);
  }
}
