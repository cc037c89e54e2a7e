package saltlatch.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The properties that hold from the start; later subsystems add theirs. */
public final class Properties {
  private Properties() {}

  /** No req is answered twice: by one node in its history, or to its client. */
  public static final class AnsweredOnce implements Property {
    @Override
    public String name() {
      return "no req answered twice";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      List<Violation> out = new ArrayList<>();
      Map<String, HistoryEvent> answered = new HashMap<>();
      Map<String, HistoryEvent> got = new HashMap<>();
      for (HistoryEvent l : history) {
        if (!l.kind().equals("answered") && !l.kind().equals("got")) continue;
        HistoryEvent first = (l.kind().equals("got") ? got : answered).putIfAbsent(l.get("id"), l);
        if (first != null) out.add(
            violation("req " + l.get("id") + " ended " + first.get("how") + " and " + l.get("how"),
                first, l));
      }
      return out;
    }
  }

  /**
   * Every req that came whole is answered, or its client left, unless its node's process was ended
   * by a fault (or by the end of the run) after it came.
   */
  public static final class Answered implements Property {
    @Override
    public String name() {
      return "every req that came whole is answered";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> open = new TreeMap<>();
      List<Violation> out = new ArrayList<>();
      for (HistoryEvent l : history) {
        if (l.kind().equals("arrived")) open.put(l.get("id"), l);
        if (l.kind().equals("answered")) open.remove(l.get("id"));
        boolean ended = l.kind().equals("fault")
            && (l.get("kind").equals("kill") || l.get("kind").equals("end"));
        if (ended) open.values().removeIf(a -> a.name().equals(l.get("node")));
        if (!l.kind().equals("started")) continue;
        // Started anew with reqs still open: its forerunner ended with no fault on the schedule
        // that explains it.
        open.values().removeIf(a -> {
          boolean lost = a.name().equals(l.name()) && !a.incarnation().equals(l.incarnation());
          if (lost) out.add(violation(
              "req " + a.get("id") + " was open when " + a.name() + " ended by itself", a, l));
          return lost;
        });
      }
      for (HistoryEvent a : open.values())
        out.add(violation("req " + a.get("id") + " of " + a.name() + " has no answer", a));
      return out;
    }
  }

  /**
   * A client gets an answer within its timeout, unless a fault on the schedule touched its node (or
   * every node: a fault on the nodes' links to counter, discovery or app servers) while it waited,
   * or as long before as the front needs to notice.
   */
  public static final class LostOnlyByFaults implements Property {
    private final double slackMs;

    /**
     * {@code slackMs}: a fault explains what was sent so long after its end: the front's notice,
     * and a restart.
     */
    public LostOnlyByFaults(double slackMs) {
      this.slackMs = slackMs;
    }

    @Override
    public String name() {
      return "no answer is missing without a fault that explains it";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> sent = new HashMap<>();
      Map<String, List<long[]>> faults = new HashMap<>(); // node, or all, and from when to when
      for (HistoryEvent l : history) {
        if (l.kind().equals("sent")) sent.put(l.get("id"), l);
        if (!l.kind().equals("planned")) continue;
        faults.computeIfAbsent(l.get("node"), k -> new ArrayList<>())
            .add(new long[] {Long.parseLong(l.get("from_ns")),
                Long.parseLong(l.get("until_ns")) + (long) (slackMs * 1e6)});
      }
      List<Violation> out = new ArrayList<>();
      for (HistoryEvent l : history) {
        if (!l.kind().equals("got")
            || (!l.get("how").equals("BROKEN") && !l.get("how").equals("TIMED_OUT")))
          continue;
        HistoryEvent s = sent.get(l.get("id"));
        long from = s == null ? l.monoNs() : s.monoNs();
        boolean explained = false;
        for (String who : List.of(l.get("node"), "all")) {
          for (long[] f : faults.getOrDefault(who, List.of()))
            explained |= f[0] <= l.monoNs() && f[1] >= from;
        }
        if (!explained)
          out.add(violation("req " + l.get("id") + " to " + l.get("node") + " " + l.get("how"),
              s == null ? l : s, l));
      }
      return out;
    }
  }

  /**
   * No non-replayable req comes to an app server again after a dispatch of it that may have run.
   */
  public static final class NotRepeated implements Property {
    @Override
    public String name() {
      return "no non-replayable req dispatched again after one that may have run";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> ran = new HashMap<>();
      List<Violation> out = new ArrayList<>();
      for (HistoryEvent l : history) {
        if (!l.kind().equals("command") || !l.get("submit").equals("true")) continue;
        HistoryEvent first = ran.get(l.get("id"));
        if (first != null) out.add(violation("req " + l.get("id") + " came again", first, l));
        if (!l.get("verdict").equals("BUSY")) ran.putIfAbsent(l.get("id"), l);
      }
      return out;
    }
  }

  /**
   * What a client was told to have passed ran at an app server, and no req's units are charged
   * twice there.
   */
  public static final class PassedRan implements Property {
    @Override
    public String name() {
      return "every passed req ran, and no non-replayable one twice";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> served = new HashMap<>();
      Set<String> submits = new HashSet<>();
      List<Violation> out = new ArrayList<>();
      for (HistoryEvent l : history) {
        if (l.kind().equals("command") && l.get("submit").equals("true")) submits.add(l.get("id"));
        if (l.kind().equals("served")) {
          HistoryEvent first = served.putIfAbsent(l.get("id"), l);
          if (first != null && submits.contains(l.get("id")))
            out.add(violation("req " + l.get("id") + " ran twice", first, l));
        }
        if (l.kind().equals("got") && l.get("how").equals("PASSED")
            && !served.containsKey(l.get("id"))) {
          out.add(violation("req " + l.get("id") + " passed and never ran", l));
        }
      }
      return out;
    }
  }

  /**
   * What the app servers charged a customer stays within {@code burst + rate * t + bound} over
   * every stretch that begins with its first charge; the bound is the scenario's statement of what
   * its faults may cost.
   */
  public static final class WithinQuota implements Property {
    private final double rate;
    private final double burst;
    private final double bound;

    public WithinQuota(double rate, double burst, double bound) {
      this.rate = rate;
      this.burst = burst;
      this.bound = bound;
    }

    @Override
    public String name() {
      return "units beyond a quota stay within the stated bound";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, double[]> use = new HashMap<>(); // first ns, units, worst
      Map<String, HistoryEvent> worst = new TreeMap<>();
      for (HistoryEvent l : history) {
        if (!l.kind().equals("served")) continue;
        double[] u = use.computeIfAbsent(l.get("customer"),
            k -> new double[] {l.monoNs(), 0, bound});
        u[1] += l.number("units");
        double beyond = u[1] - burst - rate * (l.monoNs() - u[0]) / 1e9;
        if (beyond > u[2]) {
          u[2] = beyond;
          worst.put(l.get("customer"), l);
        }
      }
      List<Violation> out = new ArrayList<>();
      worst.forEach((c,
          l) -> out.add(violation(String.format(java.util.Locale.ROOT,
              "customer %s was charged %.1f units beyond its quota, %.1f are stated", c,
              use.get(c)[2], bound), l)));
      return out;
    }
  }

  /**
   * The parts of one quota that all processes together may use without the counter sum to no more
   * than one, by what each told last of its share and its own leases. A stopped process uses
   * nothing; on waking its leases have run out by its clock.
   */
  public static final class SharesWithinQuota implements Property {
    private static final double ROUNDING = 1e-6;

    @Override
    public String name() {
      return "shares in use sum to no more than the quota";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> last = new TreeMap<>();
      List<Violation> out = new ArrayList<>();
      for (HistoryEvent l : history) {
        if (l.kind().equals("started") || l.kind().equals("ends")) last.remove(l.name());
        if (l.kind().equals("fault") && l.get("kind").equals("kill")) last.remove(l.get("node"));
        if (!l.kind().equals("share")) continue;
        last.put(l.name(), l);
        double sum = 0;
        for (HistoryEvent s : last.values()) sum += part(s, (l.monoNs() - s.monoNs()) / 1e6);
        if (sum > 1 + ROUNDING) {
          out.add(
              new Violation(name(), String.format(java.util.Locale.ROOT, "%.3f quotas in use", sum),
                  List.copyOf(last.values())));
        }
      }
      return out;
    }

    /** What a process may use so long after it told this. */
    private static double part(HistoryEvent s, double laterMs) {
      if (laterMs >= s.number("holds_ms") && !s.get("is").equals("floor")) return s.number("floor");
      return s.get("is").equals("more") && laterMs >= s.number("takes_ms") ? s.number("whole")
          : s.number("part");
    }
  }
}
