package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.NodeMetrics;

/**
 * A hollow node: the control part of one edge node without its data path, for the laboratory. It
 * runs the classes that {@code serve} runs (discovery's watch, the directory, connections to app
 * servers, membership where enabled, the policy) but no listener for clients. Many of them share
 * one {@link Vertx}, each on its own context. The datagram socket, where there is one, closes with
 * that context (a deployed verticle's) or with the {@link Vertx}. Callable from any thread.
 */
public final class HollowNode {
  private final Context loop;
  private final NodeRuntime runtime;
  private volatile long listIndex = -1;
  private volatile int listedServerCount;
  private volatile LongConsumer onListApplied = index -> {};

  /** Neither starts nor connects anything; {@code loop}: the event loop that it is to live on. */
  public HollowNode(Vertx vertx, Context loop, NodeConfiguration configuration) {
    this.loop = loop;
    runtime = new NodeRuntime(vertx, loop, configuration, new NodeMetrics(), NodeHistory.NO_OP);
    runtime.onListApplied(this::listApplied);
  }

  /** Starts the policy on the list last known, and follows discovery; returns at once. */
  public void start(GatewayPolicy.Factory factory) {
    loop.runOnContext(v -> {
      runtime.start(factory);
      runtime.openWatch();
    });
  }

  /** Ends the watch and all timers; returns at once. A stopped node isn't started again. */
  public void stop() {
    loop.runOnContext(v -> runtime.stop());
  }

  /**
   * Its metrics, a {@code name=value} line each, as INFO gives them. Waits for its loop, so it must
   * not be called on another event loop.
   */
  public String infoText() {
    if (Vertx.currentContext() == loop) return runtime.infoText();
    CompletableFuture<String> text = new CompletableFuture<>();
    loop.runOnContext(v -> text.complete(runtime.infoText()));
    return text.join();
  }

  /** The index of the newest list or change that the policy has whole; below 0: none yet. */
  public long listIndex() {
    return listIndex;
  }

  /** App servers listed as of {@link #listIndex()}. */
  public int listedServerCount() {
    return listedServerCount;
  }

  /**
   * Sets what is called on its loop with the index of each list or change once the policy has it
   * whole; before the start.
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
