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
 * A cold app srv under all nodes of a fleet, each with a Control of its own. In no window of the
 * rule may they send it more than N + 2 * root of N + 2 reqs together, N being the multiple of its
 * warmth's part of what a warm one carries there.
 */
class SlowStartFleetTest {
  private static final int WARM = 10;
  private static final int COLD = WARM; // its number
  private static final long WINDOW = 10_000; // 1 s; cold for ten
  private static final double FROM = 0.2; // of a warm one's capacity at first
  private static final long LISTED = 3 * WINDOW; // by then each node knows its load
  private static final long END = LISTED + 5 * WINDOW;
  private static final long STEP = 200;

  /** One draw's fleet. */
  private static final class Fleet {
    private final List<long[]> sent = new ArrayList<>(); // node, req, app srv
    private final double multiple;
    private final boolean allCold;
    private int node;

    Fleet(double multiple, boolean allCold) {
      this.multiple = multiple;
      this.allCold = allCold;
    }

    private PolicyEngine control(int n, long seed, long now) {
      GatewayActions to = (GatewayActions) Proxy.newProxyInstance(getClass().getClassLoader(),
          new Class<?>[] {GatewayActions.class}, (p, m, a) -> {
            if (m.getName().equals("startAttempt"))
              sent.add(new long[] {node, (long) a[0], (long) a[1]});
            return null;
          });
      GatewaySettings.Limits rules = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
          10 * WINDOW, FROM, multiple, WINDOW);
      return new PolicyEngine(now,
          new GatewaySettings(seed, n, 20, rules, new GatewaySettings.CounterSettings(true, false),
              new GatewaySettings.PeerSettings(0, 0, 0), List.of(DecisionTrace.REPLAYABLE),
              List.of(DecisionTrace.NO_QUOTA)),
          to);
    }

    private GatewayEvent list(boolean cold) {
      List<GatewayEvent.Endpoint> entries = new ArrayList<>();
      for (int i = 0; i < WARM + (cold ? 1 : 0); i++) {
        entries.add(new GatewayEvent.Endpoint(i, cold && (allCold || i == COLD) ? LISTED : 0, 0, 0,
            EndpointState.READY, 1, 0));
      }
      return new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, entries);
    }

    /**
     * One draw: how far the worst window was beyond its bound, and the part of the budget that was
     * used.
     */
    private double[] play(int n, double carried, int restarted, long seed) {
      SplittableRandom chance = new SplittableRandom(seed);
      List<PolicyEngine> fleet = new ArrayList<>();
      double[] upTo = new double[n]; // a few nodes get several times the mean
      double all = 0;
      for (int i = 0; i < n; i++) {
        fleet.add(control(n, chance.nextLong(), 0));
        upTo[i] = all += 0.3 - Math.log(1 - chance.nextDouble());
      }
      for (node = 0; node < n; node++) fleet.get(node).handle(0, List.of(list(false)));
      ArrayDeque<Long> window = new ArrayDeque<>();
      double worst = Double.NEGATIVE_INFINITY;
      double got = 0;
      double budget = 0;
      long rid = 0;
      for (long now = STEP; now < END; now += STEP) {
        Map<Integer, List<GatewayEvent>> events = new TreeMap<>();
        for (long[] one : sent)
          add(events, (int) one[0], new GatewayEvent.AttemptEnded(one[1], 0, 0,
              AttemptOutcome.SUCCEEDED, true, STEP, 0, 0, List.of()));
        sent.clear();
        double arrivals = WARM * carried * STEP / WINDOW;
        for (int k = poisson(arrivals, chance); k > 0; k--) {
          double at = chance.nextDouble() * all;
          int i = 0;
          while (upTo[i] < at) i++;
          add(events, i,
              new GatewayEvent.RequestArrived(rid++, 0, 0, 9, 30_000, 1, 2, 0, false, 0));
        }
        for (int i = 0; i < n; i++) {
          if (now == LISTED && 10 * i < restarted * n)
            fleet.set(i, control(n, chance.nextLong(), now));
          if (now == LISTED) add(events, i, list(true));
          if (now % HousekeepingSchedule.PERIOD_TICKS == 0)
            add(events, i, new GatewayEvent.TimerFired(-1));
        }
        for (int i : events.keySet()) fleet.get(node = i).handle(now, events.get(i));
        for (long[] one : sent) if (one[2] == COLD) window.add(now);
        while (!window.isEmpty() && window.peek() <= now - WINDOW) window.poll();
        if (now < LISTED) continue;
        // Its warmth where the window began: less than at any time in it.
        double least = multiple * carried
            * (FROM + (1 - FROM) * Math.max(0, now - WINDOW - LISTED) / (10.0 * WINDOW));
        worst = Math.max(worst, window.size() - (least + 2 * Math.sqrt(least) + 2));
        got += sent.stream().filter(one -> one[2] == COLD).count();
        budget += multiple * carried * (FROM + (1 - FROM) * (now - LISTED) / (10.0 * WINDOW)) * STEP
            / WINDOW;
      }
      return new double[] {worst, got / budget};
    }

    private static void add(Map<Integer, List<GatewayEvent>> events, int node, GatewayEvent e) {
      events.computeIfAbsent(node, k -> new ArrayList<>()).add(e);
    }
  }

  private static int poisson(double mean, SplittableRandom chance) {
    int k = 0;
    for (double p = chance.nextDouble(); p > Math.exp(-mean); p *= chance.nextDouble()) k++;
    return k;
  }

  @ParameterizedTest
  @CsvSource({"3, 2, 4, false, 0, 1000", "30, 2, 4, false, 0, 1000", "100, 2, 4, false, 0, 1000",
      "100, 10, 4, false, 0, 300", "30, 2, 4, false, 7, 1000", "100, 2, 4, false, 7, 1000",
      "100, 10, 4, false, 7, 300", "3, 10, 2, true, 0, 300", "30, 10, 2, true, 0, 1000",
      "100, 10, 2, true, 0, 300", "30, 10, 2, true, 7, 300"})
  void sumStaysUnderTheBound(int nodes, double carried, double multiple, boolean allCold,
      int restarted, int draws) {
    List<double[]> all = IntStream.range(0, draws).parallel()
        .mapToObj(seed -> new Fleet(multiple, allCold).play(nodes, carried, restarted, seed))
        .toList();
    long beyond = all.stream().filter(draw -> draw[0] > 0).count();
    double used = all.stream().mapToDouble(draw -> draw[1]).sum() / draws;
    assertTrue(beyond <= draws / 100, beyond + " of " + draws + " draws beyond the bound");
    assertTrue(used > 0.06, "it gets " + used + " of its budget");
  }
}
