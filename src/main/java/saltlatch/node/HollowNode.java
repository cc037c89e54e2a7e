package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.NodeMetrics;

/**
 * A hollow node: the control plane of one edge node without the listener for clients, for the
 * laboratory. It runs the same classes as {@code serve}: discovery's watch, the endpoint directory,
 * connections to app servers, membership if enabled, and the policy. Many hollow nodes share one
 * {@link Vertx}, each with a separate context. The datagram socket, if any, is closed together with
 * that context (of a deployed verticle) or with the {@link Vertx}. The methods can be called from
 * any thread.
 */
public final class HollowNode {
  private final Context loop;
  private final NodeRuntime runtime;
  private volatile long listIndex = -1;
  private volatile int listedServerCount;
  private volatile LongConsumer onListApplied = index -> {};

  /** Creates the node without starting it; {@code loop} is the event loop that it runs on. */
  public HollowNode(Vertx vertx, Context loop, NodeConfiguration configuration) {
    this.loop = loop;
    runtime = new NodeRuntime(vertx, loop, configuration, new NodeMetrics(), NodeHistory.NO_OP);
    runtime.onListApplied(this::listApplied);
  }

  /** Starts the policy with the cached endpoint list, and opens the watch; returns at once. */
  public void start(GatewayPolicy.Factory factory) {
    loop.runOnContext(v -> {
      runtime.start(factory);
      runtime.openWatch();
    });
  }

  /** Stops the watch and all timers; returns at once. A stopped node can't be restarted. */
  public void stop() {
    loop.runOnContext(v -> runtime.stop());
  }

  /**
   * Returns the metrics in the format of INFO, with one {@code name=value} line each. Waits for the
   * node's event loop, so it must not be called on another event loop.
   */
  public String infoText() {
    if (Vertx.currentContext() == loop) return runtime.infoText();
    CompletableFuture<String> text = new CompletableFuture<>();
    loop.runOnContext(v -> text.complete(runtime.infoText()));
    return text.join();
  }

  /** Returns the index of the newest completely applied list or change; negative if none. */
  public long listIndex() {
    return listIndex;
  }

  /** Returns how many app servers are listed as of {@link #listIndex()}. */
  public int listedServerCount() {
    return listedServerCount;
  }

  /**
   * Sets the action that receives the index of each completely applied list or change, on the
   * node's event loop. Must be called before the start.
   */
  public void onListApplied(LongConsumer action) {
    onListApplied = action;
  }

  private void listApplied(long index) {
    listedServerCount = runtime.listedServerCount();
    listIndex = index;
    onListApplied.accept(index);
  }
}
