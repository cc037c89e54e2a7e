package saltlatch.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.management.ManagementFactory;
import saltlatch.api.GatewayPolicy;

/**
 * An edge node within another program (the laboratory): no signals and no shutdown hook; it ends by
 * {@link #stop()}. Callable from any thread.
 */
public final class EmbeddedNode {
  private final EdgeNode node;

  private EmbeddedNode(EdgeNode node) {
    this.node = node;
  }

  /**
   * Starts a node of the configuration's JSON text; done once it serves, failed for a text that
   * can't be used or if it can't listen.
   */
  public static Future<EmbeddedNode> start(GatewayPolicy.Factory factory, String json) {
    EdgeNode node;
    try {
      node = new EdgeNode(NodeConfigurationReader.read(json));
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
    return node.start(factory).map(v -> new EmbeddedNode(node));
  }

  /** The port on which it listens for clients. */
  public int port() {
    return node.port();
  }

  /** Its metrics, a {@code name=value} line each, as {@code INFO} gives them. */
  public Future<String> infoText() {
    Promise<String> text = Promise.promise();
    node.loop().runOnContext(v -> text.complete(node.infoText()));
    return text.future();
  }

  /** CPU time in ns that its event loop's thread has used, from the JVM's thread accounting. */
  public Future<Long> loopCpuNanos() {
    Promise<Long> nanos = Promise.promise();
    node.loop().runOnContext(
        v -> nanos.complete(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()));
    return nanos.future();
  }

  /** Drains and ends as after SIGTERM; done once its event loop is closed. */
  public Future<Void> stop() {
    return node.stop();
  }
}
