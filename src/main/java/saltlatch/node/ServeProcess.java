package saltlatch.node;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.HeapExhaustion;

/**
 * The process of the {@code serve} command: one edge node with its signal handlers. SIGHUP reloads
 * the configuration, SIGTERM shuts the node down gracefully. The start runs on the main thread, the
 * shutdown on the thread of the JVM's shutdown hook.
 */
public final class ServeProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ServeProcess.class);
  private static final int OK = 0;
  private static final int BAD_CONFIGURATION = 2;
  private static final int NOT_STARTED = 3;

  private final EdgeNode node;

  private ServeProcess(EdgeNode node) {
    this.node = node;
  }

  /**
   * Starts a node with the configuration at {@code path}.
   *
   * @return 0 once the node serves clients; 2 if the configuration is invalid or does not fit into
   *     the heap; 3 if the node can't start. On failure a line on {@code err} names the cause.
   */
  public static int run(GatewayPolicy.Factory factory, String path, PrintStream err) {
    ReloadSignal reloadSignal = new ReloadSignal();
    NodeConfiguration configuration;
    EdgeNode node;
    try {
      configuration = NodeConfigurationReader.read(Files.readString(Path.of(path)));
      node = new EdgeNode(configuration);
    } catch (IOException | RuntimeException | OutOfMemoryError e) {
      err.println("saltlatch serve: configuration " + path + ": " + HeapExhaustion.explain(e));
      return BAD_CONFIGURATION;
    }
    node.reloadOn(reloadSignal, Path.of(path));
    // Added before the node is ready, since SIGTERM may arrive immediately after.
    Runtime.getRuntime().addShutdownHook(new Thread(new ServeProcess(node)::terminate));
    try {
      node.start(factory).toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException | InterruptedException e) {
      err.println("saltlatch serve: " + configuration.addresses().listen() + ": "
          + HeapExhaustion.explain(e.getCause()));
      return HeapExhaustion.isCauseOf(e) ? BAD_CONFIGURATION : NOT_STARTED;
    }
    return OK;
  }

  /** Shuts the node down; runs after SIGTERM. */
  private void terminate() {
    LOG.info("shutdown_started");
    node.history().stopping();
    try {
      node.stop().toCompletionStage().toCompletableFuture().get(GracefulShutdown.MAX_DURATION_MS,
          TimeUnit.MILLISECONDS);
    } catch (ExecutionException | InterruptedException | TimeoutException e) {
      LOG.warn("shutdown_incomplete error={}", e.toString());
    }
    String metrics = node.infoText().replace('\n', ' ');
    LOG.info("shutdown_metrics {}", metrics);
    node.history().stopped(metrics);
  }
}
