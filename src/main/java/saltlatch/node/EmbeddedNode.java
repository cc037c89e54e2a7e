package saltlatch.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.management.ManagementFactory;
import saltlatch.api.GatewayPolicy;

/**
 * An edge node inside another program, the laboratory. It installs no signal handlers and no
 * shutdown hook, and stops only through {@link #stop()}. Its methods can be called from any thread.
 */
public final class EmbeddedNode {
  private final EdgeNode node;

  private EmbeddedNode(EdgeNode node) {
    this.node = node;
  }

  /**
   * Starts a node with the given JSON configuration. The future completes once the node serves
   * clients, and fails if the configuration is invalid or the node can't listen.
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

  /** Returns the port on which the node listens for clients. */
  public int port() {
    return node.port();
  }

  /** Returns the metrics in the format of {@code INFO}, with one {@code name=value} line each. */
  public Future<String> infoText() {
    Promise<String> text = Promise.promise();
    node.loop().runOnContext(v -> text.complete(node.infoText()));
    return text.future();
  }

  /** Returns the CPU time of the event loop's thread in ns, as measured by the JVM. */
  public Future<Long> loopCpuNanos() {
    Promise<Long> nanos = Promise.promise();
    node.loop().runOnContext(
        v -> nanos.complete(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()));
    return nanos.future();
  }

  /** Drains and stops the node as after SIGTERM; completes once the event loop is closed. */
  public Future<Void> stop() {
    return node.stop();
  }
}
