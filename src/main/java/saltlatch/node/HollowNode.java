package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.NodeMetrics;

/**
 * The control part of one edge node without its data path, for the laboratory: the classes that
 * {@code serve} runs (discovery's watch, the directory, connections to app servers, membership
 * where configured, the module), but no listener for clients. Many of them share one {@link Vertx};
 * each lives on its own context. The datagram socket, where one is configured, closes with that
 * context (a deployed verticle's) or with the {@link Vertx}.
 */
public final class HollowNode {
  // part of the node's memory for what requests hold, as in Serve
  private static final int BYTES_PART = 16;

  private final Context loop;
  private final EventLoopAdapter pilot;
  private volatile long listIndex = -1;
  private volatile int listed;
  private volatile LongConsumer hook = index -> {};

  /**
   * Neither starts nor connects anything yet; {@code loop}: the event loop that it is to live on.
   */
  public HollowNode(Vertx vertx, Context loop, NodeConfiguration configuration) {
    this.loop = loop;
    pilot = new EventLoopAdapter(vertx, loop, configuration, new NodeMetrics(),
        configuration.memoryMb() * 1024L * 1024 / BYTES_PART, null);
    pilot.onListed(this::applied);
  }

  /** Starts the module on the list last known, and follows discovery; returns at once. */
  public void start(GatewayPolicy.Factory maker) {
    loop.runOnContext(v -> {
      pilot.start(maker);
      pilot.watchEndpoints();
    });
  }

  /**
   * Ends the watch and all timers; returns at once. A node that was stopped isn't started again.
   */
  public void stop() {
    loop.runOnContext(v -> pilot.end());
  }

  /**
   * Its counters, a {@code name=value} line each, as INFO gives them. Waits for its loop: not for
   * another event loop.
   */
  public String figures() {
    if (Vertx.currentContext() == loop) return pilot.infoText();
    CompletableFuture<String> text = new CompletableFuture<>();
    loop.runOnContext(v -> text.complete(pilot.infoText()));
    return text.join();
  }

  /**
   * The index of the newest list or change that the module has been handed whole; below 0: none
   * yet.
   */
  public long listIndex() {
    return listIndex;
  }

  /** App servers listed as of {@link #listIndex()}. */
  public int listed() {
    return listed;
  }

  /**
   * Called on its loop with the index once a list or change has been applied to the module; set
   * before the start.
   */
  public void onListed(LongConsumer then) {
    hook = then;
  }

  private void applied(long index) {
    listed = pilot.listed();
    listIndex = index;
    hook.accept(index);
  }
}
