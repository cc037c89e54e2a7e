package saltlatch;

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
import saltlatch.api.Actions;
import saltlatch.api.Event;
import saltlatch.api.Event.Condition;
import saltlatch.api.Event.Outcome;
import saltlatch.api.Site;
import saltlatch.api.Told;
import saltlatch.wire.SumsForm;

/** Plays events into one Control and prints what it does, a line an action; compared with a kept trace. */
final class Trace implements Actions {
  static final Site.Plan FIRM = new Site.Plan(2, 6, 0, 0, 0, 1);
  static final Site.Plan NO_QUOTA = new Site.Plan(0, 0, 0, 0, 0, 1);
  static final Site.Frontend REPLAYABLE = kind(Site.Effect.REPLAYABLE, Site.Group.ALL);
  static final Site.Frontend UNIQUED = kind(Site.Effect.UNIQUED, Site.Group.CELL);
  static final Site.Frontend ONCE = kind(Site.Effect.NON_REPLAYABLE, Site.Group.ALL);

  private final StringBuilder text = new StringBuilder();
  private final List<long[]> wakes = new ArrayList<>();
  private final java.util.Set<Long> dispatched = new java.util.HashSet<>();
  private final ArrayDeque<Long> names = new ArrayDeque<>();
  private Control control;
  long now = 60_000;
  long left = 30_000; // that clients wait
  long age; // that reqs have lain unread
  boolean muted; // for stretches that tell nothing new

  private static Site.Frontend kind(Site.Effect effect, Site.Group group) {
    return new Site.Frontend(effect, group, 20_000, 10_000, 30_000, 1);
  }

  static Site site(Site.Plan plan, boolean unitsAfter, boolean follow) {
    return site(7, 2, plan, unitsAfter, follow);
  }

  static Site site(long seed, int nodes, Site.Plan plan, boolean unitsAfter, boolean follow) {
    return site(seed, nodes, plan, unitsAfter, follow, 0, 0);
  }

  static Site site(long seed, int nodes, Site.Plan plan, boolean unitsAfter, boolean follow, int me,
      double intake) {
    Site.Rules rules = new Site.Rules(follow, true, 4, true, 10_000, true, 100_000, 0.2, 4, 10_000);
    return new Site(seed, nodes, 20, rules, new Site.Counting(true, unitsAfter),
        new Site.Peers(me, intake, 0), List.of(REPLAYABLE, UNIQUED, ONCE), List.of(plan));
  }

  Trace(Site site) {
    start(site);
  }

  void start(Site site) {
    wakes.clear();
    names.clear();
    control = new Control(now, site, this);
  }

  /** App srvs as "id/cell", "id/cell cold" or "id/cell draining"; the whole list. */
  void list(String... srvs) {
    List<Event.Entry> entries = new ArrayList<>();
    for (String srv : srvs) {
      String[] parts = srv.split("[/ ]");
      boolean marked = parts.length > 2;
      entries.add(new Event.Entry(Long.parseLong(parts[0]), marked && parts[2].equals("cold") ? now : 0, 0,
          Integer.parseInt(parts[1]),
          marked && parts[2].equals("draining") ? Condition.DRAINING : Condition.READY, 1, 0));
    }
    say("listed " + String.join(", ", srvs));
    tell(new Event.Listed(Event.ListKind.WHOLE, entries));
  }

  void arrive(long rid, int frontend, double units) {
    arrive(rid, frontend, units, false);
  }

  void arrive(long rid, int frontend, double units, boolean repeat) {
    say("req " + rid + " of frontend " + frontend + ", units " + units + (repeat ? ", a further try" : "")
        + (left < 30_000 ? ", waits " + left / 10 : "") + (age > 0 ? ", lay unread for " + age / 10 : ""));
    tell(new Event.Arrived(rid, frontend, 0, 9, left, units, 2, 0, repeat, age));
  }

  void counted(double total) {
    say("total " + total);
    if (!names.isEmpty()) tell(answer(total));
  }

  Event answer(double total) {
    return new Event.Counted(names.poll(), Outcome.PASSED, total, 10);
  }

  void counted(Outcome how) {
    say("count call " + how);
    if (!names.isEmpty()) tell(new Event.Counted(names.poll(), how, 0, 300));
  }

  void ended(long rid, int dispatch, Outcome how) {
    ended(rid, dispatch, how, 0);
  }

  void ended(long rid, int dispatch, Outcome how, double actual) {
    say("dispatch " + dispatch + " of req " + rid + " " + how);
    tell(new Event.Ended(rid, 0, dispatch, how, how == Outcome.PASSED, 0, actual, 0, List.of()));
  }

  void tell(Event... events) {
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
      tell(new Event.Due(next[1]));
    }
    now = until;
  }

  void say(String line) {
    if (!muted) text.append(String.format(Locale.ROOT, "%7.1f %s%n", (now - 60_000) / 10.0, line));
  }

  /** Compares with the kept trace; -Dsaltlatch.record=true writes it anew, to be read before it is kept. */
  void matches(String name) throws IOException {
    String seen = text.toString();
    if (Boolean.getBoolean("saltlatch.record")) {
      Files.writeString(Path.of("src/test/resources/traces", name + ".txt"), seen);
    }
    try (InputStream in = Trace.class.getResourceAsStream("/traces/" + name + ".txt")) {
      assertEquals(in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8), seen);
    }
  }

  /** Whether the req was ever dispatched. */
  boolean isOut(long rid) {
    return dispatched.contains(rid);
  }

  int count(String word) {
    return text.toString().split(word, -1).length - 1;
  }

  @Override
  public void dispatch(long rid, long srv, long cap) {
    dispatched.add(rid);
    say("  -> dispatch req " + rid + " to " + srv + " for " + cap / 10.0);
  }

  @Override
  public void deny(long rid, long pause) {
    say("  -> deny req " + rid + (pause > 0 ? ", come back in " + pause / 10.0 : ""));
  }

  @Override
  public void abort(long rid) {
    say("  -> abort req " + rid);
  }

  @Override
  public void cancel(long rid, int dispatch) {
    say("  -> cancel dispatch " + dispatch + " of req " + rid);
  }

  @Override
  public void wake(long at, long handle) {
    wakes.add(new long[] {at, handle});
  }

  @Override
  public void probe(long srv) {
    say("  -> probe " + srv);
  }

  @Override
  public void closeIdle(long srv) {
    say("  -> close " + srv);
  }

  @Override
  public void count(long name, double units, long keep, long cap) {
    names.add(name);
    say(String.format(Locale.ROOT, "  -> count window %d: %+.2f, kept %.0f", name & 0x7fffffffL, units,
        keep / 10.0));
  }

  @Override
  public void follow(boolean on) {
    say("  -> follow " + on);
  }

  @Override
  public void tell(int peer, Told told) {
    say("  -> tell " + peer + ", " + SumsForm.write(told).length + " bytes");
  }

  @Override
  public void note(String line) {
    say("  -> note " + line);
  }
}
