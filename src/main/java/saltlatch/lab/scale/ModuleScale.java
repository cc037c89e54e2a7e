package saltlatch.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.policy.PolicyEngine;

/**
 * Measures the policy alone, without sockets, by the length of the endpoint list.
 * {@code module.request} is the CPU time for one request with one answered attempt;
 * {@code module.change} is the CPU time for one changed list entry. The policy runs in this
 * process, in which the JIT compiler may optimize it more than with the JVM flags of {@code serve}.
 */
final class ModuleScale implements ScaleTest {
  private static final int WARM_UP_COUNT = 400; // requests and changes before the measurement
  private static final int MEASURED_COUNT = 2_000; // requests and changes in the measurement
  private static final long INTERVAL_TICKS = 42; // ticks of 0.1 ms; about 240 requests a second
  private static final long TICK_INTERVAL = 20; // ticks of 0.1 ms
  private static final long ATTEMPT_TICKS = 20; // duration of an attempt
  private static final double NANOS_PER_MS = 1e6;
  private static final int ZONES = 3;
  // upper bound on the policy's memory for one app server
  private static final long ENTRY_BYTES = 1L << 10;

  @Override
  public String name() {
    return "module";
  }

  @Override
  public String grows() {
    return "app servers";
  }

  @Override
  public List<Long> sizes() {
    return List.of(200L, 1_000L, 6_000L, 34_000L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(size * ENTRY_BYTES, 0);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) {
    PolicyDriver driver = new PolicyDriver((int) size, repeat);
    driver.requests(WARM_UP_COUNT);
    driver.changes(WARM_UP_COUNT);
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    measured.put("module.request",
        MetricValues.of(Quantity.CPU_MS, driver.cpuMs(() -> driver.requests(MEASURED_COUNT))));
    measured.put("module.change",
        MetricValues.of(Quantity.CPU_MS, driver.cpuMs(() -> driver.changes(MEASURED_COUNT))));
    if (driver.startedAttempts() != WARM_UP_COUNT + MEASURED_COUNT) {
      throw new IllegalStateException("expected " + (WARM_UP_COUNT + MEASURED_COUNT)
          + " requests dispatched, found " + driver.startedAttempts());
    }
    return measured;
  }

  @Override
  public String remark() {
    return "module: the decision module alone in this process; sockets, parsing and the list's reading are not in these figures.";
  }

  /**
   * Drives one policy with a list of {@code size} app servers and without quotas. Each attempt
   * succeeds after {@value #ATTEMPT_TICKS} ticks.
   */
  private static final class PolicyDriver implements GatewayActions {
    private final int size;
    private final GatewayPolicy policy;
    private long now = 10_000;
    private long lastRequest;
    private long lastServer = -1; // server of the open attempt, or -1
    private int startedAttempts;
    private int changed;

    PolicyDriver(int size, long seed) {
      this.size = size;
      GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
          0, 1, 0, 0);
      GatewaySettings.RequestClass requestClass = new GatewaySettings.RequestClass(
          GatewaySettings.RetrySafety.IDEMPOTENT, GatewaySettings.KeyScope.ALL, 0, 1_000, 30_000,
          1);
      GatewaySettings.QuotaPlan plan = new GatewaySettings.QuotaPlan(0, 0, 0, 0, 0, 1);
      GatewaySettings settings = new GatewaySettings(seed, 1, TICK_INTERVAL, limits,
          new GatewaySettings.CounterSettings(false, false),
          new GatewaySettings.PeerSettings(0, 0, 0), List.of(requestClass), List.of(plan));
      policy = new PolicyEngine(now, settings, this);
      List<GatewayEvent.Endpoint> entries = new ArrayList<>();
      for (int i = 0; i < size; i++) entries.add(entry(i, EndpointState.READY));
      policy.handle(now,
          List.of(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.CACHED_SNAPSHOT, entries)));
    }

    void requests(int count) {
      for (int i = 0; i < count; i++) request();
    }

    private void request() {
      now += INTERVAL_TICKS;
      long id = ++lastRequest;
      policy.handle(now, List
          .of(new GatewayEvent.RequestArrived(id, 0, 0, id % 1_000, 30_000, 1, 1, 0, false, 0)));
      if (lastServer < 0) return;
      long server = lastServer;
      lastServer = -1;
      now += ATTEMPT_TICKS;
      policy.handle(now, List.of(new GatewayEvent.AttemptEnded(id, server, 0,
          AttemptOutcome.SUCCEEDED, true, ATTEMPT_TICKS, 0, 0, List.of())));
    }

    /** Applies list changes: each entry in turn is set to draining and then to ready again. */
    void changes(int count) {
      for (int i = 0; i < count; i++) {
        now += INTERVAL_TICKS;
        EndpointState state = changed % 2 == 0 ? EndpointState.DRAINING : EndpointState.READY;
        GatewayEvent.Endpoint entry = entry(changed / 2 % size, state);
        policy.handle(now,
            List.of(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.DELTA, List.of(entry))));
        changed++;
      }
    }

    private static GatewayEvent.Endpoint entry(int number, EndpointState state) {
      return new GatewayEvent.Endpoint(number, 0, number % ZONES, 0, state, 1, 0);
    }

    /** Returns the CPU time of this thread in ms for each of the measured requests or changes. */
    double cpuMs(Runnable work) {
      long cpuNanosBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      work.run();
      return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNanosBefore)
          / NANOS_PER_MS / MEASURED_COUNT;
    }

    int startedAttempts() {
      return startedAttempts;
    }

    @Override
    public void startAttempt(long request, long server, long limit) {
      startedAttempts++;
      lastServer = server;
    }

    @Override
    public void reject(long request, long retryDelay) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancelAttempt(long request, int attempt) {}

    @Override
    public void setTimer(long at, long handle) {}

    @Override
    public void checkHealth(long server) {}

    @Override
    public void closeIdleConnections(long server) {}

    @Override
    public void addToCounter(long name, double units, long ttl, long limit) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void sendGossip(int peer, GossipMessage message) {}

    @Override
    public void log(String text) {}
  }
}
