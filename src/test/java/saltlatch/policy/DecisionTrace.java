package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * Plays events into one Control and prints what it does, a line an action; compared with a kept
 * trace.
 */
final class DecisionTrace implements GatewayActions {
  static final GatewaySettings.QuotaPlan FIRM = new GatewaySettings.QuotaPlan(2, 6, 0, 0, 0, 1);
  static final GatewaySettings.QuotaPlan NO_QUOTA = new GatewaySettings.QuotaPlan(0, 0, 0, 0, 0, 1);
  static final GatewaySettings.RequestClass REPLAYABLE = kind(
      GatewaySettings.RetrySafety.IDEMPOTENT, GatewaySettings.KeyScope.ALL);
  static final GatewaySettings.RequestClass UNIQUED = kind(
      GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY, GatewaySettings.KeyScope.GROUP);
  static final GatewaySettings.RequestClass ONCE = kind(GatewaySettings.RetrySafety.NOT_IDEMPOTENT,
      GatewaySettings.KeyScope.ALL);

  private final StringBuilder text = new StringBuilder();
  private final List<long[]> wakes = new ArrayList<>();
  private final java.util.Set<Long> dispatched = new java.util.HashSet<>();
  private final ArrayDeque<Long> names = new ArrayDeque<>();
  private PolicyEngine control;
  long now = 60_000;
  long left = 30_000; // that clients wait
  long age; // that reqs have lain unread
  boolean muted; // for stretches that tell nothing new

  private static GatewaySettings.RequestClass kind(GatewaySettings.RetrySafety effect,
      GatewaySettings.KeyScope group) {
    return new GatewaySettings.RequestClass(effect, group, 20_000, 10_000, 30_000, 1);
  }

  static GatewaySettings site(GatewaySettings.QuotaPlan plan, boolean unitsAfter, boolean follow) {
    return site(7, 2, plan, unitsAfter, follow);
  }

  static GatewaySettings site(long seed, int nodes, GatewaySettings.QuotaPlan plan,
      boolean unitsAfter, boolean follow) {
    return site(seed, nodes, plan, unitsAfter, follow, 0, 0);
  }

  static GatewaySettings site(long seed, int nodes, GatewaySettings.QuotaPlan plan,
      boolean unitsAfter, boolean follow, int me, double intake) {
    GatewaySettings.Limits rules = new GatewaySettings.Limits(follow, true, 4, true, 10_000, true,
        100_000, 0.2, 4, 10_000);
    return new GatewaySettings(seed, nodes, 20, rules,
        new GatewaySettings.CounterSettings(true, unitsAfter),
        new GatewaySettings.PeerSettings(me, intake, 0), List.of(REPLAYABLE, UNIQUED, ONCE),
        List.of(plan));
  }

  DecisionTrace(GatewaySettings site) {
    start(site);
  }

  void start(GatewaySettings site) {
    wakes.clear();
    names.clear();
    control = new PolicyEngine(now, site, this);
  }

  /** App srvs as "id/cell", "id/cell cold" or "id/cell draining"; the whole list. */
  void list(String... srvs) {
    List<GatewayEvent.Endpoint> entries = new ArrayList<>();
    for (String srv : srvs) {
      String[] parts = srv.split("[/ ]");
      boolean marked = parts.length > 2;
      entries.add(new GatewayEvent.Endpoint(Long.parseLong(parts[0]),
          marked && parts[2].equals("cold") ? now : 0, 0, Integer.parseInt(parts[1]),
          marked && parts[2].equals("draining") ? EndpointState.DRAINING : EndpointState.READY, 1,
          0));
    }
    say("listed " + String.join(", ", srvs));
    sendGossip(
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, entries));
  }

  void arrive(long rid, int frontend, double units) {
    arrive(rid, frontend, units, false);
  }

  void arrive(long rid, int frontend, double units, boolean repeat) {
    say("req " + rid + " of frontend " + frontend + ", units " + units
        + (repeat ? ", a further try" : "") + (left < 30_000 ? ", waits " + left / 10 : "")
        + (age > 0 ? ", lay unread for " + age / 10 : ""));
    sendGossip(
        new GatewayEvent.RequestArrived(rid, frontend, 0, 9, left, units, 2, 0, repeat, age));
  }

  void counted(double total) {
    say("total " + total);
    if (!names.isEmpty()) sendGossip(answer(total));
  }

  GatewayEvent answer(double total) {
    return new GatewayEvent.CounterReplied(names.poll(), AttemptOutcome.SUCCEEDED, total, 10);
  }

  void counted(AttemptOutcome how) {
    say("count call " + how);
    if (!names.isEmpty()) sendGossip(new GatewayEvent.CounterReplied(names.poll(), how, 0, 300));
  }

  void ended(long rid, int dispatch, AttemptOutcome how) {
    ended(rid, dispatch, how, 0);
  }

  void ended(long rid, int dispatch, AttemptOutcome how, double actual) {
    say("dispatch " + dispatch + " of req " + rid + " " + how);
    sendGossip(new GatewayEvent.AttemptEnded(rid, 0, dispatch, how, how == AttemptOutcome.SUCCEEDED,
        0, actual, 0, List.of()));
  }

  void sendGossip(GatewayEvent... events) {
    control.handle(now, List.of(events));
  }

  /** Lets time pass, delivering wake-ups as they fall due. */
  void pass(long tenths) {
    long until = now + tenths;
    while (true) {
      long[] next = null;
      for (long[] w : wakes) {
        next = w[0] <= until && (next == null || w[0] < next[0]) ? w : next;
      }
      if (next == null) {
        break;
      }
      wakes.remove(next);
      now = Math.max(now, next[0]);
      sendGossip(new GatewayEvent.TimerFired(next[1]));
    }
    now = until;
  }

  void say(String line) {
    if (!muted) text.append(String.format(Locale.ROOT, "%7.1f %s%n", (now - 60_000) / 10.0, line));
  }

  /**
   * Compares with the kept trace; -Dsaltlatch.record=true writes it anew, to be read before it is
   * kept.
   */
  void matches(String name) throws IOException {
    String seen = text.toString();
    if (Boolean.getBoolean("saltlatch.record")) {
      Files.writeString(Path.of("src/test/resources/traces", name + ".txt"), seen);
    }
    try (InputStream in = DecisionTrace.class.getResourceAsStream("/traces/" + name + ".txt")) {
      assertEquals(in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8), seen);
    }
  }

  /** Whether the req was ever dispatched. */
  boolean isOut(long rid) {
    return dispatched.contains(rid);
  }

  int addToCounter(String word) {
    return text.toString().split(word, -1).length - 1;
  }

  @Override
  public void startAttempt(long rid, long srv, long cap) {
    dispatched.add(rid);
    say("  -> dispatch req " + rid + " to " + srv + " for " + cap / 10.0);
  }

  @Override
  public void reject(long rid, long pause) {
    say("  -> deny req " + rid + (pause > 0 ? ", come back in " + pause / 10.0 : ""));
  }

  @Override
  public void fail(long rid) {
    say("  -> abort req " + rid);
  }

  @Override
  public void cancelAttempt(long rid, int dispatch) {
    say("  -> cancel dispatch " + dispatch + " of req " + rid);
  }

  @Override
  public void setTimer(long at, long handle) {
    wakes.add(new long[] {at, handle});
  }

  @Override
  public void checkHealth(long srv) {
    say("  -> probe " + srv);
  }

  @Override
  public void closeIdleConnections(long srv) {
    say("  -> close " + srv);
  }

  @Override
  public void addToCounter(long name, double units, long keep, long cap) {
    names.add(name);
    say(String.format(Locale.ROOT, "  -> count window %d: %+.2f, kept %.0f", name & 0x7fffffffL,
        units, keep / 10.0));
  }

  @Override
  public void watchEndpoints(boolean on) {
    say("  -> follow " + on);
  }

  @Override
  public void sendGossip(int peer, GossipMessage told) {
    say("  -> tell " + peer + ", " + GossipCodec.encode(told).length + " bytes");
  }

  @Override
  public void log(String line) {
    say("  -> note " + line);
  }
}
