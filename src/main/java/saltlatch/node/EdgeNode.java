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
 * One edge node: its event loop, its listener for clients and its runtime; starts, reloads and
 * stops them. Callable from any thread; what it does runs on the node's event loop.
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
  // done once there is what a reload changes
  private final Promise<Void> runtimeStarted = Promise.promise();
  private boolean stopping; // owned by the event loop

  /** Builds the node; it neither listens nor connects yet. */
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
        metrics, configuration.resourceLimits().maxClientConnections());
  }

  private static VertxOptions options() {
    FileSystemOptions files = new FileSystemOptions().setFileCachingEnabled(false)
        .setClassPathResolvingEnabled(false);
    return new VertxOptions().setPreferNativeTransport(true) // NIO's timers spin for half a ms each
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
   * Starts the node; done once it answers clients. Fails if it can't listen, if the policy can't be
   * created, or if {@link #stop()} came first.
   */
  Future<Void> start(GatewayPolicy.Factory factory) {
    Promise<Void> started = Promise.promise();
    loop.runOnContext(v -> {
      try {
        if (stopping) throw new IllegalStateException("stopped before it was ready");
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
    if (stopping) return; // it never was ready: nobody counts on it
    listener.markReady();
    LOG.info("{} serves on {}", configuration.name(), configuration.addresses().listen());
    history.ready();
    started.complete();
    runtime.openWatch();
  }

  /**
   * Reads the configuration again at each SIGHUP; one that can't be used leaves all as it is. One
   * that comes before the runtime has started waits for it.
   */
  void reloadOn(ReloadSignal signal, Path path) {
    signal.onReload(() -> loop.runOnContext(v -> reload(path)));
  }

  private void reload(Path path) {
    vertx.executeBlocking(() -> NodeConfigurationReader.read(Files.readString(path)))
        .onFailure(e -> {
          metrics.add(Metric.RELOADS_FAILED);
          LOG.warn("configuration_rejected path={} kept=old error={}", path, e.toString());
        }).onSuccess(renewed -> runtimeStarted.future().onSuccess(v -> runtime.reload(renewed)));
  }

  /** Ends the node as after SIGTERM; done once its event loop is closed. */
  Future<Void> stop() {
    Promise<Void> done = Promise.promise();
    loop.runOnContext(v -> {
      stopping = true;
      GracefulShutdown.Schedule schedule = GracefulShutdown.Schedule.of(configuration.settings());
      new GracefulShutdown(vertx, listener, runtime, schedule, done).start();
    });
    return done.future().compose(v -> vertx.close());
  }

  /** The port on which it listens for clients. */
  int port() {
    return listener.port();
  }

  /** Its metrics as INFO gives them; right only on its event loop, or once that is closed. */
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
