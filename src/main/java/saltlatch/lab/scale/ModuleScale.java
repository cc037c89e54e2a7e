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
 * The decision module alone, without sockets, as the list grows: {@code module.request} is its CPU
 * for one request that is dispatched and answered, {@code module.change} for one changed entry of
 * the list. The module runs in this process, which may compile it further than {@code serve}'s
 * flags do.
 */
final class ModuleScale implements ScaleTest {
  private static final int WARM = 400; // requests and changes before anything is read
  private static final int COUNTED = 2_000; // requests and changes that are read
  private static final long STEP = 42; // tenths of a ms between requests: 240 a second
  private static final long TICK = 20; // tenths of a ms
  private static final long SPENT = 20; // tenths of a ms that a dispatch takes
  private static final double MILLION = 1e6; // ns in a ms
  private static final int ZONES = 3;
  private static final long ENTRY_BYTES = 1L << 10; // of an app server in the module, at the most

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
    Play play = new Play((int) size, repeat);
    play.requests(WARM);
    play.changes(WARM);
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    measured.put("module.request",
        MetricValues.of(Quantity.CPU_MS, play.cpuMs(() -> play.requests(COUNTED))));
    measured.put("module.change",
        MetricValues.of(Quantity.CPU_MS, play.cpuMs(() -> play.changes(COUNTED))));
    if (play.dispatched() != WARM + COUNTED) {
      throw new IllegalStateException(
          play.dispatched() + " of " + (WARM + COUNTED) + " requests dispatched");
    }
    return measured;
  }

  @Override
  public String remark() {
    return "module: the decision module alone in this process; sockets, parsing and the list's reading are not in these figures.";
  }

  /**
   * One module on a list of so many app servers, without quotas, each request dispatched and
   * answered at once.
   */
  private static final class Play implements GatewayActions {
    private final int size;
    private final GatewayPolicy module;
    private long now = 10_000;
    private long lastRequest;
    private long lastServer = -1; // of the newest dispatch, -1: none is out
    private int dispatched;
    private int changed;

    Play(int size, long seed) {
      this.size = size;
      GatewaySettings.Limits rules = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
          0, 1, 0, 0);
      GatewaySettings.RequestClass frontend = new GatewaySettings.RequestClass(
          GatewaySettings.RetrySafety.IDEMPOTENT, GatewaySettings.KeyScope.ALL, 0, 1_000, 30_000,
          1);
      GatewaySettings.QuotaPlan plan = new GatewaySettings.QuotaPlan(0, 0, 0, 0, 0, 1);
      GatewaySettings site = new GatewaySettings(seed, 1, TICK, rules,
          new GatewaySettings.CounterSettings(false, false),
          new GatewaySettings.PeerSettings(0, 0, 0), List.of(frontend), List.of(plan));
      module = new PolicyEngine(now, site, this);
      List<GatewayEvent.Endpoint> entries = new ArrayList<>();
      for (int i = 0; i < size; i++) entries.add(entry(i, EndpointState.READY));
      module.handle(now,
          List.of(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.CACHED_SNAPSHOT, entries)));
    }

    void requests(int count) {
      for (int i = 0; i < count; i++) request();
    }

    private void request() {
      now += STEP;
      long id = ++lastRequest;
      module.handle(now, List
          .of(new GatewayEvent.RequestArrived(id, 0, 0, id % 1_000, 30_000, 1, 1, 0, false, 0)));
      if (lastServer < 0) return;
      long server = lastServer;
      lastServer = -1;
      now += SPENT;
      module.handle(now, List.of(new GatewayEvent.AttemptEnded(id, server, 0,
          AttemptOutcome.SUCCEEDED, true, SPENT, 0, 0, List.of())));
    }

    /** One entry drains, the next time it is ready again. */
    void changes(int count) {
      for (int i = 0; i < count; i++) {
        now += STEP;
        EndpointState condition = changed % 2 == 0 ? EndpointState.DRAINING : EndpointState.READY;
        GatewayEvent.Endpoint entry = entry(changed / 2 % size, condition);
        module.handle(now,
            List.of(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.DELTA, List.of(entry))));
        changed++;
      }
    }

    private static GatewayEvent.Endpoint entry(int number, EndpointState condition) {
      return new GatewayEvent.Endpoint(number, 0, number % ZONES, 0, condition, 1, 0);
    }

    /** CPU of this thread for each of the counted, ms. */
    double cpuMs(Runnable work) {
      long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
      work.run();
      return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / MILLION
          / COUNTED;
    }

    int dispatched() {
      return dispatched;
    }

    @Override
    public void startAttempt(long rid, long srv, long cap) {
      dispatched++;
      lastServer = srv;
    }

    @Override
    public void reject(long rid, long pause) {}

    @Override
    public void fail(long rid) {}

    @Override
    public void cancelAttempt(long rid, int dispatch) {}

    @Override
    public void setTimer(long at, long handle) {}

    @Override
    public void checkHealth(long srv) {}

    @Override
    public void closeIdleConnections(long srv) {}

    @Override
    public void addToCounter(long name, double units, long keep, long cap) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void sendGossip(int peer, GossipMessage told) {}

    @Override
    public void log(String text) {}
  }
}
