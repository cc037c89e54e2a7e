package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewaySettings;

/**
 * A server warms up under all nodes of a fleet, each with an engine of its own. Many nodes with a
 * small part each could send it far more than the rule allows. In no window of the rule may they
 * send it more than N + 2 * root of N + 2 requests together, N being the rule's factor times its
 * capacity's part of what a warm server carries there. Times are in ticks.
 */
class SlowStartFleetTest {
  private static final int WARM_SERVERS = 10;
  private static final int STARTED_SERVER = WARM_SERVERS; // its id
  private static final long WINDOW_TICKS = 10_000; // 1 s; it warms up for ten
  private static final double INITIAL_CAPACITY = 0.2;
  private static final long LISTED_AT = 3 * WINDOW_TICKS; // by then each node knows its load
  private static final long END_AT = LISTED_AT + 5 * WINDOW_TICKS;
  private static final long STEP_TICKS = 200;

  /** One draw's fleet. */
  private static final class Fleet {
    private final List<long[]> sent = new ArrayList<>(); // node, request, server
    private final double multiple;
    private final boolean allStart;
    private int node;

    Fleet(double multiple, boolean allStart) {
      this.multiple = multiple;
      this.allStart = allStart;
    }

    private PolicyEngine engine(int n, long seed, long now) {
      GatewayActions to = (GatewayActions) Proxy.newProxyInstance(getClass().getClassLoader(),
          new Class<?>[] {GatewayActions.class}, (p, m, a) -> {
            if (m.getName().equals("startAttempt"))
              sent.add(new long[] {node, (long) a[0], (long) a[1]});
            return null;
          });
      GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
          10 * WINDOW_TICKS, INITIAL_CAPACITY, multiple, WINDOW_TICKS);
      return new PolicyEngine(now,
          new GatewaySettings(seed, n, 20, limits, new GatewaySettings.CounterSettings(true, false),
              new GatewaySettings.PeerSettings(0, 0, 0), List.of(DecisionTrace.IDEMPOTENT),
              List.of(DecisionTrace.NO_QUOTA)),
          to);
    }

    private GatewayEvent list(boolean started) {
      List<GatewayEvent.Endpoint> entries = new ArrayList<>();
      for (int i = 0; i < WARM_SERVERS + (started ? 1 : 0); i++) {
        entries.add(new GatewayEvent.Endpoint(i,
            started && (allStart || i == STARTED_SERVER) ? LISTED_AT : 0, 0, 0, EndpointState.READY,
            1, 0));
      }
      return new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, entries);
    }

    private long nextRequestId;

    /**
     * One draw: how far the worst window was beyond its bound, and the part of the budget that was
     * used.
     */
    private double[] play(int n, double carried, int restarted, long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      List<PolicyEngine> fleet = new ArrayList<>();
      double[] upTo = new double[n]; // a few nodes get several times the mean
      double all = 0;
      for (int i = 0; i < n; i++) {
        fleet.add(engine(n, random.nextLong(), 0));
        upTo[i] = all += 0.3 - Math.log(1 - random.nextDouble());
      }
      for (node = 0; node < n; node++) fleet.get(node).handle(0, List.of(list(false)));
      ArrayDeque<Long> window = new ArrayDeque<>();
      double worst = Double.NEGATIVE_INFINITY;
      double got = 0;
      double budget = 0;
      nextRequestId = 0;
      for (long now = STEP_TICKS; now < END_AT; now += STEP_TICKS) {
        Map<Integer, List<GatewayEvent>> events = new TreeMap<>();
        endAttempts(events);
        addRequests(events, WARM_SERVERS * carried * STEP_TICKS / WINDOW_TICKS, upTo, random);
        for (int i = 0; i < n; i++) {
          if (now == LISTED_AT && 10 * i < restarted * n)
            fleet.set(i, engine(n, random.nextLong(), now));
          addListAndTimer(events, i, now);
        }
        for (int i : events.keySet()) {
          node = i;
          fleet.get(i).handle(now, events.get(i));
        }
        for (long[] one : sent) if (one[2] == STARTED_SERVER) window.add(now);
        while (!window.isEmpty() && window.peek() <= now - WINDOW_TICKS) window.poll();
        if (now < LISTED_AT) continue;
        // Its capacity where the window began: less than at any time in it.
        double least = multiple * carried
            * capacityAfter(Math.max(0, now - WINDOW_TICKS - LISTED_AT));
        worst = Math.max(worst, window.size() - (least + 2 * Math.sqrt(least) + 2));
        got += sent.stream().filter(one -> one[2] == STARTED_SERVER).count();
        budget += multiple * carried * capacityAfter(now - LISTED_AT) * STEP_TICKS / WINDOW_TICKS;
      }
      return new double[] {worst, got / budget};
    }

    /** Every attempt of the last step succeeds. */
    private void endAttempts(Map<Integer, List<GatewayEvent>> events) {
      for (long[] one : sent) {
        add(events, (int) one[0], new GatewayEvent.AttemptEnded(one[1], 0, 0,
            AttemptOutcome.SUCCEEDED, true, STEP_TICKS, 0, 0, List.of()));
      }
      sent.clear();
    }

    /** So many requests in the mean, dealt out among the nodes by their weights. */
    private void addRequests(Map<Integer, List<GatewayEvent>> events, double mean, double[] upTo,
        SplittableRandom random) {
      for (int k = poisson(mean, random); k > 0; k--) {
        double at = random.nextDouble() * upTo[upTo.length - 1];
        int i = 0;
        while (upTo[i] < at) i++;
        add(events, i,
            new GatewayEvent.RequestArrived(nextRequestId++, 0, 0, 9, 30_000, 1, 2, 0, false, 0));
      }
    }

    private void addListAndTimer(Map<Integer, List<GatewayEvent>> events, int i, long now) {
      if (now == LISTED_AT) add(events, i, list(true));
      if (now % HousekeepingSchedule.PERIOD_TICKS == 0) {
        add(events, i, new GatewayEvent.TimerFired(-1));
      }
    }

    /** Capacity of the started server so long after its start: it warms up in ten windows. */
    private static double capacityAfter(long ticks) {
      return INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * ticks / (10.0 * WINDOW_TICKS);
    }

    private static void add(Map<Integer, List<GatewayEvent>> events, int node, GatewayEvent e) {
      events.computeIfAbsent(node, k -> new ArrayList<>()).add(e);
    }
  }

  private static int poisson(double mean, SplittableRandom random) {
    int k = 0;
    for (double p = random.nextDouble(); p > Math.exp(-mean); p *= random.nextDouble()) k++;
    return k;
  }

  @ParameterizedTest
  @CsvSource({"3, 2, 4, false, 0, 1000", "30, 2, 4, false, 0, 1000", "100, 2, 4, false, 0, 1000",
      "100, 10, 4, false, 0, 300", "30, 2, 4, false, 7, 1000", "100, 2, 4, false, 7, 1000",
      "100, 10, 4, false, 7, 300", "3, 10, 2, true, 0, 300", "30, 10, 2, true, 0, 1000",
      "100, 10, 2, true, 0, 300", "30, 10, 2, true, 7, 300"})
  void sumStaysUnderTheBound(int nodes, double carried, double multiple, boolean allStart,
      int restarted, int draws) {
    List<double[]> all = IntStream.range(0, draws).parallel()
        .mapToObj(seed -> new Fleet(multiple, allStart).play(nodes, carried, restarted, seed))
        .toList();
    long beyond = all.stream().filter(draw -> draw[0] > 0).count();
    double used = all.stream().mapToDouble(draw -> draw[1]).sum() / draws;
    assertTrue(beyond <= draws / 100, beyond + " of " + draws + " draws beyond the bound");
    assertTrue(used > 0.06, "it gets " + used + " of its budget");
  }
}
