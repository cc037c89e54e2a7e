package saltlatch.wire.counter;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnector;

/**
 * Adds units to the counter's totals. All calls of a name go over one connection, so that they are
 * answered in order. Every call gets exactly one result, at the latest when its time limit is over.
 *
 * <p>Owned by the node's event loop; times are ticks.
 */
public final class CounterClient {
  /** Gets the results of calls, on the node's event loop. */
  public interface Listener {
    /**
     * A call has ended.
     *
     * @param total        units under this name, with the call's own; 0 unless answered
     * @param elapsedTicks since the call was made
     */
    void counterCallEnded(long name, CallResult result, double total, long elapsedTicks);
  }

  // of the 32 that the counter allows: a slow part of it holds up few names of the others
  private static final int MAX_CONNECTIONS = 8;
  // the counter closes idle connections after 10 s or less
  private static final long IDLE_TICKS = 4 * Ticks.PER_SECOND;
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND;
  private static final long MIN_CONNECT_TIMEOUT_MS = 100;
  private static final long CONNECT_TIMEOUTS = 10; // time limits of a call

  private final NetClient client;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final long timeoutTicks;
  private final CounterConnection[] connections = new CounterConnection[MAX_CONNECTIONS];
  private SocketAddress address;

  /**
   * Connects on the first call.
   *
   * @param timeoutTicks the least time limit of a call
   */
  public CounterClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener listener,
      NodeMetrics metrics, long timeoutTicks) {
    this.address = address;
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    this.timeoutTicks = timeoutTicks;
    long connectTimeoutMs = CONNECT_TIMEOUTS * timeoutTicks / Ticks.PER_MILLISECOND;
    client = TcpConnector.createClient(vertx, Math.max(MIN_CONNECT_TIMEOUT_MS, connectTimeoutMs));
    sweep();
  }

  /**
   * Adds units to a name's total.
   *
   * @param timeToLiveTicks   after which the counter may forget the total
   * @param callTimeoutTicks the call's time limit, where it is longer than the client's own
   */
  public void add(long name, double units, long timeToLiveTicks, long callTimeoutTicks) {
    count(Metric.COUNTER_CALLS);
    int slot = slotOf(name);
    CounterConnection connection = connections[slot];
    if (connection != null && connection.isStuck()) connection.close();
    if (connections[slot] == null) connections[slot] = new CounterConnection(this, slot, null);
    connections[slot].call(name, Math.max(timeoutTicks, callTimeoutTicks),
        CounterCodec.encodeAdd(name, units, timeToLiveTicks));
  }

  /** Names are distributed over the connections by their low bits and those above the 31st. */
  private static int slotOf(long name) {
    return (int) Math.floorMod(name ^ name >>> 31, (long) MAX_CONNECTIONS);
  }

  /**
   * Sends calls to another address from now on. Guards against a name's answers that overtake each
   * other, by which an older total would replace a newer one: a call on the new connection is
   * written only once all calls on the old one have their result.
   */
  public void changeAddress(SocketAddress newAddress) {
    if (address.equals(newAddress)) return;
    address = newAddress;
    for (int slot = 0; slot < MAX_CONNECTIONS; slot++) {
      CounterConnection old = connections[slot];
      if (old == null || old.closeUnlessOpenCalls()) continue;
      connections[slot] = new CounterConnection(this, slot, old);
      old.retire(connections[slot]);
    }
  }

  private void sweep() {
    for (CounterConnection connection : connections) {
      if (connection != null && (connection.isIdleFor(IDLE_TICKS) || connection.isStuck()))
        connection.close();
    }
    scheduleAt(nowTicks() + SWEEP_INTERVAL_TICKS, this::sweep);
  }

  Future<NetSocket> connect() {
    return client.connect(address);
  }

  long nowTicks() {
    return scheduler.now();
  }

  long timeoutTicks() {
    return timeoutTicks;
  }

  TimerQueue.Timer scheduleAt(long atTicks, Runnable task) {
    return scheduler.scheduleAt(atTicks, task);
  }

  void count(Metric metric) {
    metrics.add(metric);
  }

  void ended(CounterCall call, CallResult result, double total) {
    count(result == CallResult.ANSWERED ? Metric.COUNTER_CALLS_ANSWERED
        : Metric.COUNTER_CALLS_FAILED);
    listener.counterCallEnded(call.name, result, total, nowTicks() - call.sentAtTicks);
  }

  void closed(CounterConnection connection, int slot) {
    if (connections[slot] == connection) connections[slot] = null;
  }
}
