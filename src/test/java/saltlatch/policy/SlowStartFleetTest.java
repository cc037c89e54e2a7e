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
 * Tests the warm-up of one app server in a fleet in which each node has its own engine. Guards
 * against many nodes, each with a small part of the warm-up budget, that together send the server
 * far more than the rule allows. In any window of the rule, they may together send it at most
 * {@code N + 2 * sqrt(N) + 2} requests. N is the number of requests that a warm server gets in the
 * window, times the rule's factor, times the server's capacity. Times are in ticks.
 */
class SlowStartFleetTest {
  private static final int WARM_SERVERS = 10;
  private static final int STARTED_SERVER = WARM_SERVERS; // its ID
  private static final long WINDOW_TICKS = 10_000; // 1 s; the warm-up lasts ten windows
  private static final double INITIAL_CAPACITY = 0.2;
  private static final long LISTED_AT = 3 * WINDOW_TICKS; // each node has measured its load by then
  private static final long END_AT = LISTED_AT + 5 * WINDOW_TICKS;
  private static final long STEP_TICKS = 200;

  /** The fleet of one random draw. */
  private static final class Fleet {
    private final List<long[]> sentAttempts = new ArrayList<>(); // node, request ID, server ID
    private final double factor; // of the warm-up budget
    private final boolean allServersStart;
    private int activeNode;

    Fleet(double factor, boolean allServersStart) {
      this.factor = factor;
      this.allServersStart = allServersStart;
    }

    private PolicyEngine newEngine(int nodeCount, long seed, long now) {
      GatewayActions actions = (GatewayActions) Proxy.newProxyInstance(getClass().getClassLoader(),
          new Class<?>[] {GatewayActions.class}, (proxy, method, arguments) -> {
            if (method.getName().equals("startAttempt")) {
              sentAttempts.add(new long[] {activeNode, (long) arguments[0], (long) arguments[1]});
            }
            return null;
          });
      GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
          10 * WINDOW_TICKS, INITIAL_CAPACITY, factor, WINDOW_TICKS);
      return new PolicyEngine(now,
          new GatewaySettings(seed, nodeCount, 20, limits,
              new GatewaySettings.CounterSettings(true, false),
              new GatewaySettings.PeerSettings(0, 0, 0), List.of(DecisionTrace.IDEMPOTENT),
              List.of(DecisionTrace.NO_QUOTA)),
          actions);
    }

    private GatewayEvent endpointList(boolean started) {
      List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
      for (int id = 0; id < WARM_SERVERS + (started ? 1 : 0); id++) {
        endpoints.add(new GatewayEvent.Endpoint(id,
            started && (allServersStart || id == STARTED_SERVER) ? LISTED_AT : 0, 0, 0,
            EndpointState.READY, 1, 0));
      }
      return new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, endpoints);
    }

    private long nextRequestId;

    /**
     * Simulates one draw. The limit of a window uses the server's capacity at the start of the
     * window, which is the lowest in it.
     *
     * @param warmLoad mean number of requests that each warm server gets in a window
     * @param restartedTenths tenths of the nodes that restart when the server is listed
     * @return by how many requests the worst window exceeded its limit, and the fraction of the
     *     budget that was used
     */
    private double[] simulate(int nodeCount, double warmLoad, int restartedTenths, long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      List<PolicyEngine> engines = new ArrayList<>();
      double[] loadSums = new double[nodeCount]; // a few nodes get several times the mean load
      double totalLoad = 0;
      for (int i = 0; i < nodeCount; i++) {
        engines.add(newEngine(nodeCount, random.nextLong(), 0));
        loadSums[i] = totalLoad += 0.3 - Math.log(1 - random.nextDouble());
      }
      for (activeNode = 0; activeNode < nodeCount; activeNode++)
        engines.get(activeNode).handle(0, List.of(endpointList(false)));
      ArrayDeque<Long> sendTimes = new ArrayDeque<>(); // of the current window
      double maxExcess = Double.NEGATIVE_INFINITY;
      double sentToStarted = 0;
      double budget = 0;
      nextRequestId = 0;
      for (long now = STEP_TICKS; now < END_AT; now += STEP_TICKS) {
        Map<Integer, List<GatewayEvent>> events = new TreeMap<>();
        endAttempts(events);
        addRequests(events, WARM_SERVERS * warmLoad * STEP_TICKS / WINDOW_TICKS, loadSums, random);
        for (int i = 0; i < nodeCount; i++) {
          if (now == LISTED_AT && 10 * i < restartedTenths * nodeCount)
            engines.set(i, newEngine(nodeCount, random.nextLong(), now));
          addListAndTimer(events, i, now);
        }
        for (int i : events.keySet()) {
          activeNode = i;
          engines.get(i).handle(now, events.get(i));
        }
        for (long[] sent : sentAttempts) if (sent[2] == STARTED_SERVER) sendTimes.add(now);
        while (!sendTimes.isEmpty() && sendTimes.peek() <= now - WINDOW_TICKS) sendTimes.poll();
        if (now < LISTED_AT) continue;
        double allowed = factor * warmLoad
            * capacityAfter(Math.max(0, now - WINDOW_TICKS - LISTED_AT));
        maxExcess = Math.max(maxExcess, sendTimes.size() - (allowed + 2 * Math.sqrt(allowed) + 2));
        sentToStarted += sentAttempts.stream().filter(sent -> sent[2] == STARTED_SERVER).count();
        budget += factor * warmLoad * capacityAfter(now - LISTED_AT) * STEP_TICKS / WINDOW_TICKS;
      }
      return new double[] {maxExcess, sentToStarted / budget};
    }

    /** Ends every attempt of the last step as succeeded. */
    private void endAttempts(Map<Integer, List<GatewayEvent>> events) {
      for (long[] attempt : sentAttempts) {
        add(events, (int) attempt[0], new GatewayEvent.AttemptEnded(attempt[1], 0, 0,
            AttemptOutcome.SUCCEEDED, true, STEP_TICKS, 0, 0, List.of()));
      }
      sentAttempts.clear();
    }

    /**
     * Adds a Poisson-distributed number of requests, distributed over the nodes by their loads.
     *
     * @param loadSums cumulative loads of the nodes
     */
    private void addRequests(Map<Integer, List<GatewayEvent>> events, double mean,
        double[] loadSums, SplittableRandom random) {
      for (int remaining = poisson(mean, random); remaining > 0; remaining--) {
        double position = random.nextDouble() * loadSums[loadSums.length - 1];
        int node = 0;
        while (loadSums[node] < position) {
          node++;
        }
        add(events, node,
            new GatewayEvent.RequestArrived(nextRequestId++, 0, 0, 9, 30_000, 1, 2, 0, false, 0));
      }
    }

    private void addListAndTimer(Map<Integer, List<GatewayEvent>> events, int node, long now) {
      if (now == LISTED_AT) {
        add(events, node, endpointList(true));
      }
      if (now % HousekeepingSchedule.PERIOD_TICKS == 0) {
        add(events, node, new GatewayEvent.TimerFired(-1));
      }
    }

    /** Returns the capacity of the started server at a time after its start. */
    private static double capacityAfter(long ticks) {
      return INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * ticks / (10.0 * WINDOW_TICKS);
    }

    private static void add(Map<Integer, List<GatewayEvent>> events, int node, GatewayEvent event) {
      events.computeIfAbsent(node, key -> new ArrayList<>()).add(event);
    }
  }

  private static int poisson(double mean, SplittableRandom random) {
    int count = 0;
    for (double product = random.nextDouble(); product > Math.exp(-mean); product *= random
        .nextDouble()) {
      count++;
    }
    return count;
  }

  /** The limit must hold in 99 of 100 draws. */
  @ParameterizedTest
  @CsvSource({"3, 2, 4, false, 0, 1000", "30, 2, 4, false, 0, 1000", "100, 2, 4, false, 0, 1000",
      "100, 10, 4, false, 0, 300", "30, 2, 4, false, 7, 1000", "100, 2, 4, false, 7, 1000",
      "100, 10, 4, false, 7, 300", "3, 10, 2, true, 0, 300", "30, 10, 2, true, 0, 1000",
      "100, 10, 2, true, 0, 300", "30, 10, 2, true, 7, 300"})
  void allNodesTogetherStayWithinTheWarmUpLimit(int nodeCount, double warmLoad, double budgetFactor,
      boolean allServersStart, int restartedTenths, int draws) {
    List<double[]> results = IntStream.range(0, draws).parallel()
        .mapToObj(seed -> new Fleet(budgetFactor, allServersStart).simulate(nodeCount, warmLoad,
            restartedTenths, seed))
        .toList();
    long drawsAboveLimit = results.stream().filter(result -> result[0] > 0).count();
    double usedFraction = results.stream().mapToDouble(result -> result[1]).sum() / draws;
    assertTrue(drawsAboveLimit <= draws / 100,
        drawsAboveLimit + " of " + draws + " draws exceeded the limit");
    assertTrue(usedFraction > 0.06,
        "the nodes used only " + usedFraction + " of the server's budget");
  }
}
