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
 * Adds units to the totals that the counter keeps. All calls for a name use the same connection, so
 * that their answers arrive in order. Each call gets exactly one result, at the end of its time
 * limit if no answer arrives before.
 *
 * <p>Owned by the node's event loop; times are in ticks.
 */
public final class CounterClient {
  /** Receives the results of calls on the node's event loop. */
  public interface Listener {
    /**
     * Reports the result of a call.
     *
     * @param total        the name's total in units, including the call's own; 0 unless answered
     * @param elapsedTicks the time since the call was made
     */
    void counterCallEnded(long name, CallResult result, double total, long elapsedTicks);
  }

  // The counter allows 32. Names are spread over several connections so that a slow partition of
  // the counter delays few names of the other partitions.
  private static final int MAX_CONNECTIONS = 8;
  // The counter closes idle connections after at most 10 s.
  private static final long IDLE_TICKS = 4 * Ticks.PER_SECOND;
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND;
  private static final long MIN_CONNECT_TIMEOUT_MS = 100;
  private static final long CONNECT_TIMEOUT_FACTOR = 10; // times the minimum time limit of a call

  private final NetClient client;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final long timeoutTicks;
  private final CounterConnection[] connections = new CounterConnection[MAX_CONNECTIONS];
  private SocketAddress address;

  /**
   * Creates a client that connects when the first call is made.
   *
   * @param timeoutTicks the minimum time limit of a call
   */
  public CounterClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener listener,
      NodeMetrics metrics, long timeoutTicks) {
    this.address = address;
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    this.timeoutTicks = timeoutTicks;
    long connectTimeoutMs = CONNECT_TIMEOUT_FACTOR * timeoutTicks / Ticks.PER_MILLISECOND;
    client = TcpConnector.createClient(vertx, Math.max(MIN_CONNECT_TIMEOUT_MS, connectTimeoutMs));
    sweep();
  }

  /**
   * Adds units to a name's total.
   *
   * @param timeToLiveTicks  the time after which the counter may discard the total
   * @param callTimeoutTicks the call's time limit; the client's minimum applies if that is longer
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

  /** Distributes names over the connections by their low bits and the bits from bit 31 up. */
  private static int slotOf(long name) {
    return (int) Math.floorMod(name ^ name >>> 31, (long) MAX_CONNECTIONS);
  }

  /**
   * Sends later calls to another address. A call on the new connection is written only after every
   * call on the old connection has a result: otherwise two answers for the same name could arrive
   * in the wrong order, and an older total would replace a newer one.
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

  TimerQueue.Timer scheduleAt(long dueTicks, Runnable action) {
    return scheduler.scheduleAt(dueTicks, action);
  }

  void count(Metric metric) {
    metrics.add(metric);
  }

  void callEnded(CounterCall call, CallResult result, double total) {
    count(result == CallResult.ANSWERED ? Metric.COUNTER_CALLS_ANSWERED
        : Metric.COUNTER_CALLS_FAILED);
    listener.counterCallEnded(call.name, result, total, nowTicks() - call.sentAtTicks);
  }

  void connectionClosed(CounterConnection connection, int slot) {
    if (connections[slot] == connection) connections[slot] = null;
  }
}
