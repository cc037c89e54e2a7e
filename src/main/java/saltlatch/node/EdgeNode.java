package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
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
import saltlatch.api.GatewaySettings;
import saltlatch.history.History;
import saltlatch.state.HeapExhaustion;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.client.ClientListener;

/** Start and stop of one edge node. */
public final class EdgeNode {
  private static final Logger LOG = LoggerFactory.getLogger(EdgeNode.class);
  // part of the memory for what reqs hold; the heap is a third of it
  private static final int BYTES_PART = 16;
  // after SIGTERM new connections keep coming for up to 0.4 s
  private static final long LATE_MS = 500;
  private static final long LOOK_MS = 20; // between looks whether clients are done
  // SIGKILL comes no sooner than the longest client timeout, if that
  private static final long MOST_WAIT_MS = 3_000;
  private static final long KILL_MS = 700; // is no more, and so much on top after SIGTERM
  private static final long EXIT_MS = 400; // kept of that for the JVM's own end, on part of a core

  final Vertx vertx;
  final Context loop;
  private final NodeConfiguration configuration;
  private final NodeMetrics counters = new NodeMetrics();
  private final EventLoopAdapter pilot;
  private final ClientListener listener;
  private final History history; // null: the configuration names no directory for it
  // what a new configuration changes is there
  private final Promise<Void> begun = Promise.promise();
  private boolean stopping;

  EdgeNode(NodeConfiguration configuration) {
    this.configuration = configuration;
    vertx = SingleLoopTransport.of(Vertx.builder()).with(options()).build();
    vertx.exceptionHandler(this::unexpected);
    loop = vertx.getOrCreateContext();
    loop.exceptionHandler(this::unexpected);
    history = configuration.history() == null ? null : new History(configuration.history(),
        configuration.name(), ProcessHandle.current().pid() + "-" + System.nanoTime());
    if (history != null) history.add("started", "nodes", configuration.site().nodeCount());
    pilot = new EventLoopAdapter(vertx, loop, configuration, counters,
        configuration.memoryMb() * 1024L * 1024 / BYTES_PART, history);
    listener = new ClientListener(vertx, pilot, pilot, counters, configuration.clientLinks());
  }

  private static VertxOptions options() {
    return new VertxOptions().setPreferNativeTransport(true) // NIO's timers spin for half a ms each
        .setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
        .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1))
        .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
            .setClassPathResolvingEnabled(false));
  }

  /** Returns a code to end with, or 0 once the node serves. */
  public static int run(GatewayPolicy.Factory maker, String path, PrintStream err) {
    ReloadSignal hangups = new ReloadSignal();
    EdgeNode serve;
    try {
      serve = new EdgeNode(NodeConfiguration.of(Files.readString(Path.of(path))));
    } catch (IOException | RuntimeException | OutOfMemoryError e) {
      err.println("saltlatch serve: configuration " + path + ": " + HeapExhaustion.explain(e));
      return 2;
    }
    serve.rereadOn(hangups, Path.of(path));
    // Before the node is ready: whoever sees it ready may end it in the same instant.
    Runtime.getRuntime().addShutdownHook(new Thread(serve::terminate));
    try {
      serve.start(maker).toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException | InterruptedException e) {
      err.println("saltlatch serve: " + serve.configuration.listen() + ": "
          + HeapExhaustion.explain(e.getCause()));
      return HeapExhaustion.isCauseOf(e) ? 2 : 3;
    }
    return 0;
  }

  /**
   * A node run inside another program (the laboratory): no signals, no hooks; stopped by
   * {@link #stop()}.
   */
  public interface Embedded {
    /** The port it listens on for clients. */
    int port();

    /** Its counters, a {@code name=value} line each, as {@code INFO} gives them. */
    Future<String> figures();

    /** CPU time in ns that its event loop's thread has used, from the JVM's thread accounting. */
    Future<Long> loopCpuNanos();

    /** Drains and ends as after SIGTERM; done once its loop is closed. */
    Future<Void> stop();
  }

  /**
   * Starts a node of the configuration's JSON text; done once it serves, failed for a bad text or
   * no listener.
   */
  public static Future<Embedded> embedded(GatewayPolicy.Factory maker, String json) {
    EdgeNode serve;
    try {
      serve = new EdgeNode(NodeConfiguration.of(json));
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
    return serve.start(maker).map(v -> new Embedded() {
      @Override
      public int port() {
        return serve.port();
      }

      @Override
      public Future<String> figures() {
        Promise<String> out = Promise.promise();
        serve.loop.runOnContext(x -> out.complete(serve.pilot.infoText()));
        return out.future();
      }

      @Override
      public Future<Long> loopCpuNanos() {
        Promise<Long> out = Promise.promise();
        serve.loop.runOnContext(x -> out.complete(
            java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime()));
        return out.future();
      }

      @Override
      public Future<Void> stop() {
        return serve.stop();
      }
    });
  }

  /** Done once PING is answered with PONG. */
  Future<Void> start(GatewayPolicy.Factory maker) {
    Promise<Void> open = Promise.promise();
    loop.runOnContext(v -> {
      try {
        if (stopping) throw new IllegalStateException("told to end before it was ready");
        pilot.start(maker);
        begun.complete();
      } catch (RuntimeException | OutOfMemoryError e) {
        open.fail(e);
        return;
      }
      listener.open(configuration.listen()).onFailure(open::fail).onSuccess(done -> {
        if (stopping) return; // it never was ready: nobody counts on it
        listener.ready();
        LOG.info("{} serves on {}", configuration.name(), configuration.listen());
        if (history != null) history.add("ready");
        open.complete();
        pilot.watchEndpoints();
      });
    });
    return open.future();
  }

  /** SIGHUP has the configuration read again, and a bad one leaves all as it is. */
  void rereadOn(ReloadSignal hangups, Path path) {
    hangups.then(() -> loop.runOnContext(v -> vertx
        .executeBlocking(() -> NodeConfiguration.of(Files.readString(path))).onFailure(e -> {
          counters.add(Metric.RELOADS_FAILED);
          LOG.warn("configuration {} can't be used, the old one stays: {}", path, e.toString());
          // one that comes early waits for the start
        }).onSuccess(to -> begun.future().onSuccess(b -> pilot.move(to)))));
  }

  int port() {
    return listener.port();
  }

  /**
   * Takes in and answers for as long as SIGKILL leaves time, or until the clients are done; done
   * then. Guards against clients that have no other connection until this node is up again: what
   * they ask meanwhile would fail. The last part, one response target, is for what is out already;
   * what is still owed then is aborted, since SIGKILL would lose it, and what comes in the last
   * moment is denied, so that connections end with all read that has come.
   */
  Future<Void> stop() {
    long longest = 0;
    long target = 0;
    for (GatewaySettings.RequestClass f : configuration.site().requestClasses()) {
      longest = Math.max(longest, f.clientTimeoutTicks() / 10);
      target = Math.max(target, f.latencyObjectiveTicks() / 10);
    }
    long last = Math.min(MOST_WAIT_MS, longest) + KILL_MS - EXIT_MS;
    long turn = Math.max(LATE_MS, last - target);
    long end = Math.max(turn + LOOK_MS, last);
    Promise<Void> done = Promise.promise();
    loop.runOnContext(v -> {
      stopping = true;
      vertx.setTimer(turn, t -> listener.closeConnectionsWhenAnswered());
      vertx.setTimer(end, t -> {
        listener.failPendingAndRejectNew();
        pilot.leave();
      });
      vertx.setPeriodic(LATE_MS, LOOK_MS, look -> {
        // also those that came since the last look
        if (listener.isRejecting()) listener.closeIdleConnections();
        if (listener.openConnections() > 0) return;
        vertx.cancelTimer(look);
        listener.failPendingAndRejectNew(); // what comes while all is being closed is not sent on
        pilot.leave();
        done.complete();
      });
    });
    return done.future().compose(v -> vertx.close());
  }

  /** On SIGTERM. */
  private void terminate() {
    LOG.info("stops");
    if (history != null) history.add("stops");
    try {
      stop().toCompletionStage().toCompletableFuture().get(MOST_WAIT_MS + KILL_MS,
          TimeUnit.MILLISECONDS);
    } catch (ExecutionException | InterruptedException | TimeoutException e) {
      LOG.warn("not all clients were done: {}", e.toString());
    }
    LOG.info("{}", pilot.infoText().replace('\n', ' '));
    if (history != null) history.add("ends", "figures", pilot.infoText().replace('\n', ' '));
  }

  private void unexpected(Throwable e) {
    counters.add(Metric.EXCEPTIONS);
    LOG.error("unexpected", e);
  }
}
