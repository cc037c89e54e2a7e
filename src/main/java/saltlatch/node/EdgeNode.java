package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayPolicy;
import saltlatch.history.HistoryWriter;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.client.ClientListener;

/**
 * One edge node, which consists of an event loop, a listener for clients and a runtime. Starts,
 * reloads and stops them. Its methods can be called from any thread; except for the getters, they
 * run their work on the node's event loop.
 */
final class EdgeNode {
  private static final Logger LOG = LoggerFactory.getLogger(EdgeNode.class);

  private final Vertx vertx;
  private final Context loop;
  private final NodeConfiguration configuration;
  private final NodeMetrics metrics = new NodeMetrics();
  private final NodeHistory history;
  private final NodeRuntime runtime;
  private final ClientListener listener;
  // completed once the outbound clients exist, since a reload changes their addresses
  private final Promise<Void> runtimeStarted = Promise.promise();
  private boolean stopping; // accessed only on the event loop

  /** Creates the node without listening or connecting. */
  EdgeNode(NodeConfiguration configuration) {
    this.configuration = configuration;
    vertx = SingleLoopTransport.applyTo(Vertx.builder()).with(options()).build();
    vertx.exceptionHandler(this::unexpectedException);
    loop = vertx.getOrCreateContext();
    loop.exceptionHandler(this::unexpectedException);
    history = openHistory(configuration);
    history.started(configuration.settings().nodeCount());
    runtime = new NodeRuntime(vertx, loop, configuration, metrics, history);
    listener = new ClientListener(vertx, runtime.scheduler(), runtime.clientRequestHandler(),
        metrics, configuration.resourceLimits().maxClientConnections(), runtime.memory(),
        runtime.inputTurns());
  }

  private static VertxOptions options() {
    FileSystemOptions files = new FileSystemOptions().setFileCachingEnabled(false)
        .setClassPathResolvingEnabled(false);
    return new VertxOptions().setPreferNativeTransport(true) // NIO busy-waits 0.5 ms for each timer
        .setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
        .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1)).setFileSystemOptions(files);
  }

  private static NodeHistory openHistory(NodeConfiguration configuration) {
    if (configuration.historyDirectory() == null) return NodeHistory.NO_OP;
    String incarnation = ProcessHandle.current().pid() + "-" + System.nanoTime();
    return new NodeHistoryFile(
        new HistoryWriter(configuration.historyDirectory(), configuration.name(), incarnation));
  }

  /**
   * Starts the node. The future completes once the node serves clients, and fails if the node can't
   * listen, if the policy can't be created, or if {@link #stop()} was called before.
   */
  Future<Void> start(GatewayPolicy.Factory factory) {
    Promise<Void> started = Promise.promise();
    loop.runOnContext(v -> {
      try {
        if (stopping) throw new IllegalStateException("stop() was called before the node started");
        runtime.start(factory);
        runtimeStarted.complete();
      } catch (RuntimeException | OutOfMemoryError e) {
        started.fail(e);
        return;
      }
      listener.listen(configuration.addresses().listen()).onFailure(started::fail)
          .onSuccess(done -> serve(started));
    });
    return started.future();
  }

  private void serve(Promise<Void> started) {
    if (stopping) return; // the node was never ready, so no client depends on it
    listener.markReady();
    LOG.info("{} serves on {}", configuration.name(), configuration.addresses().listen());
    history.ready();
    started.complete();
    runtime.openWatch();
  }

  /**
   * Reads the configuration again after each SIGHUP. An invalid configuration changes nothing; a
   * valid one that is read before the runtime has started is applied after the start.
   */
  void reloadOn(ReloadSignal signal, Path path) {
    signal.onReload(() -> loop.runOnContext(v -> reload(path)));
  }

  private void reload(Path path) {
    vertx.executeBlocking(() -> NodeConfigurationReader.read(Files.readString(path)))
        .onFailure(e -> {
          metrics.add(Metric.RELOADS_FAILED);
          LOG.warn("configuration_rejected path={} kept=old error={}", path, e.toString());
        }).onSuccess(newConfiguration -> runtimeStarted.future()
            .onSuccess(v -> runtime.reload(newConfiguration)));
  }

  /** Stops the node as after SIGTERM; the future completes once the event loop is closed. */
  Future<Void> stop() {
    Promise<Void> done = Promise.promise();
    loop.runOnContext(v -> {
      stopping = true;
      GracefulShutdown.Schedule schedule = GracefulShutdown.Schedule.of(configuration.settings());
      new GracefulShutdown(vertx, listener, runtime, schedule, done).start();
    });
    return done.future().compose(v -> vertx.close());
  }

  /** Returns the port on which the node listens for clients. */
  int port() {
    return listener.port();
  }

  /**
   * Returns the metrics in the format of INFO. The values are reliable only on the event loop, or
   * once the loop is closed.
   */
  String infoText() {
    return runtime.infoText();
  }

  Vertx vertx() {
    return vertx;
  }

  Context loop() {
    return loop;
  }

  NodeHistory history() {
    return history;
  }

  private void unexpectedException(Throwable e) {
    metrics.add(Metric.EXCEPTIONS);
    LOG.error("unexpected_exception", e);
  }
}
