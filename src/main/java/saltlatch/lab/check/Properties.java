package saltlatch.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The properties that the history of every run is checked for. */
public final class Properties {
  private Properties() {}

  /**
   * No request is answered twice, neither by the nodes nor in what its client received.
   */
  public static final class AnsweredOnce implements Property {
    @Override
    public String name() {
      return "no req answered twice";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      List<Violation> violations = new ArrayList<>();
      Map<String, HistoryEvent> answered = new HashMap<>();
      Map<String, HistoryEvent> got = new HashMap<>();
      for (HistoryEvent event : history) {
        if (!event.kind().equals("answered") && !event.kind().equals("got")) continue;
        HistoryEvent first = (event.kind().equals("got") ? got : answered)
            .putIfAbsent(event.get("id"), event);
        if (first != null) violations.add(violation(
            "req " + event.get("id") + " ended " + first.get("how") + " and " + event.get("how"),
            first, event));
      }
      return violations;
    }
  }

  /**
   * Every request that arrived completely is answered or abandoned by its client, unless a fault or
   * the end of the run ended the node's process after it arrived.
   */
  public static final class Answered implements Property {
    @Override
    public String name() {
      return "every req that came whole is answered";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> open = new TreeMap<>();
      List<Violation> violations = new ArrayList<>();
      for (HistoryEvent event : history) {
        if (event.kind().equals("arrived")) open.put(event.get("id"), event);
        if (event.kind().equals("answered")) open.remove(event.get("id"));
        boolean ended = event.kind().equals("fault")
            && (event.get("kind").equals("kill") || event.get("kind").equals("end"));
        if (ended) open.values().removeIf(arrival -> arrival.name().equals(event.get("node")));
        if (!event.kind().equals("started")) continue;
        // A new incarnation while requests of the previous one are open: the previous one ended,
        // and no fault of the schedule explains it.
        open.values().removeIf(arrival -> {
          boolean lost = arrival.name().equals(event.name())
              && !arrival.incarnation().equals(event.incarnation());
          if (lost) violations.add(violation(
              "req " + arrival.get("id") + " was open when " + arrival.name() + " ended by itself",
              arrival, event));
          return lost;
        });
      }
      for (HistoryEvent arrival : open.values())
        violations.add(violation(
            "req " + arrival.get("id") + " of " + arrival.name() + " has no answer", arrival));
      return violations;
    }
  }

  /**
   * Every client receives an answer within its timeout, unless a fault of the schedule affected its
   * node while it waited, or ended before that by no more than the slack. Faults on the nodes'
   * links to the counter, discovery or the app servers affect every node.
   */
  public static final class LostOnlyByFaults implements Property {
    private final double slackMs;

    /**
     * Creates the property.
     *
     * @param slackMs how long after its end a fault still explains a missing answer: the time that
     *     the load balancer needs to detect it, and a restart
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
      Map<String, List<long[]>> faults = new HashMap<>(); // by node, or all: from and until, in ns
      for (HistoryEvent event : history) {
        if (event.kind().equals("sent")) sent.put(event.get("id"), event);
        if (!event.kind().equals("planned")) continue;
        faults.computeIfAbsent(event.get("node"), node -> new ArrayList<>())
            .add(new long[] {Long.parseLong(event.get("from_ns")),
                Long.parseLong(event.get("until_ns")) + (long) (slackMs * 1e6)});
      }
      List<Violation> violations = new ArrayList<>();
      for (HistoryEvent event : history) {
        if (!event.kind().equals("got")
            || (!event.get("how").equals("BROKEN") && !event.get("how").equals("TIMED_OUT")))
          continue;
        HistoryEvent sentEvent = sent.get(event.get("id"));
        long sentNs = sentEvent == null ? event.monoNs() : sentEvent.monoNs();
        boolean explained = false;
        for (String node : List.of(event.get("node"), "all")) {
          for (long[] fault : faults.getOrDefault(node, List.of()))
            explained |= fault[0] <= event.monoNs() && fault[1] >= sentNs;
        }
        if (!explained) violations.add(violation(
            "req " + event.get("id") + " to " + event.get("node") + " " + event.get("how"),
            sentEvent == null ? event : sentEvent, event));
      }
      return violations;
    }
  }

  /**
   * No non-retriable request arrives at an app server again after an attempt that may have run.
   */
  public static final class NotRepeated implements Property {
    @Override
    public String name() {
      return "no non-replayable req dispatched again after one that may have run";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> ran = new HashMap<>();
      List<Violation> violations = new ArrayList<>();
      for (HistoryEvent event : history) {
        if (!event.kind().equals("command") || !event.get("submit").equals("true")) continue;
        HistoryEvent first = ran.get(event.get("id"));
        if (first != null)
          violations.add(violation("req " + event.get("id") + " came again", first, event));
        if (!event.get("verdict").equals("BUSY")) ran.putIfAbsent(event.get("id"), event);
      }
      return violations;
    }
  }

  /**
   * Every request that was reported to its client as succeeded ran at an app server, and no
   * non-retriable request ran twice.
   */
  public static final class SucceededRan implements Property {
    @Override
    public String name() {
      return "every passed req ran, and no non-replayable one twice";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> served = new HashMap<>();
      Set<String> submits = new HashSet<>();
      List<Violation> violations = new ArrayList<>();
      for (HistoryEvent event : history) {
        if (event.kind().equals("command") && event.get("submit").equals("true"))
          submits.add(event.get("id"));
        if (event.kind().equals("served")) {
          HistoryEvent first = served.putIfAbsent(event.get("id"), event);
          if (first != null && submits.contains(event.get("id")))
            violations.add(violation("req " + event.get("id") + " ran twice", first, event));
        }
        if (event.kind().equals("got") && event.get("how").equals("PASSED")
            && !served.containsKey(event.get("id"))) {
          violations.add(violation("req " + event.get("id") + " passed and never ran", event));
        }
      }
      return violations;
    }
  }

  /**
   * The units that the app servers charge a customer stay within {@code burst + rate * t + bound},
   * where {@code t} counts from its first charge. The bound is the scenario's limit for the units
   * that its faults may cost.
   */
  public static final class WithinQuota implements Property {
    private final double rate;
    private final double burst;
    private final double bound;

    /**
     * Creates the property for one quota plan.
     *
     * @param rate units a second
     * @param burst units
     * @param bound units by which a customer may exceed its quota
     */
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
      Map<String, double[]> usageByCustomer = new HashMap<>(); // first ns, units, worst
      Map<String, HistoryEvent> worst = new TreeMap<>();
      for (HistoryEvent event : history) {
        if (!event.kind().equals("served")) continue;
        double[] usage = usageByCustomer.computeIfAbsent(event.get("customer"),
            customer -> new double[] {event.monoNs(), 0, bound});
        usage[1] += event.number("units");
        double beyond = usage[1] - burst - rate * (event.monoNs() - usage[0]) / 1e9;
        if (beyond > usage[2]) {
          usage[2] = beyond;
          worst.put(event.get("customer"), event);
        }
      }
      List<Violation> violations = new ArrayList<>();
      worst.forEach((customer,
          event) -> violations.add(violation(String.format(java.util.Locale.ROOT,
              "customer %s was charged %.1f units beyond its quota, %.1f are stated", customer,
              usageByCustomer.get(customer)[2], bound), event)));
      return violations;
    }
  }

  /**
   * The shares of a quota that all processes may use without the counter sum to at most 1. The
   * share of each process follows from its last {@code share} event and its leases. A stopped
   * process uses nothing; when it continues, its leases have expired by its clock.
   */
  public static final class SharesWithinQuota implements Property {
    private static final double ROUNDING = 1e-6;

    @Override
    public String name() {
      return "shares in use sum to no more than the quota";
    }

    @Override
    public List<Violation> check(List<HistoryEvent> history) {
      Map<String, HistoryEvent> lastShares = new TreeMap<>();
      List<Violation> violations = new ArrayList<>();
      for (HistoryEvent event : history) {
        if (event.kind().equals("started") || event.kind().equals("ends"))
          lastShares.remove(event.name());
        if (event.kind().equals("fault") && event.get("kind").equals("kill"))
          lastShares.remove(event.get("node"));
        if (!event.kind().equals("share")) continue;
        lastShares.put(event.name(), event);
        double sum = 0;
        for (HistoryEvent share : lastShares.values())
          sum += part(share, (event.monoNs() - share.monoNs()) / 1e6);
        if (sum > 1 + ROUNDING) {
          violations.add(
              new Violation(name(), String.format(java.util.Locale.ROOT, "%.3f quotas in use", sum),
                  List.copyOf(lastShares.values())));
        }
      }
      return violations;
    }

    /** Returns the part of the quota that a process may use {@code elapsedMs} after the event. */
    private static double part(HistoryEvent share, double elapsedMs) {
      if (elapsedMs >= share.number("holds_ms") && !share.get("is").equals("floor"))
        return share.number("floor");
      return share.get("is").equals("more") && elapsedMs >= share.number("takes_ms")
          ? share.number("whole") : share.number("part");
    }
  }
}
