package saltlatch.relay;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.distribution.DistributorActions;
import saltlatch.distribution.Distributor;
import saltlatch.distribution.Distributor.Failure;
import saltlatch.distribution.Message;
import saltlatch.distribution.RelayStatus;
import saltlatch.distribution.Update;
import saltlatch.distribution.Version;

/**
 * One relay on one event loop. Passes what happens on the sockets to a {@link Distributor} as
 * events, and carries out the distributor's actions on the sockets. The distributor makes all
 * decisions.
 */
public final class Relay {
  private static final Logger LOG = LoggerFactory.getLogger(Relay.class);
  private static final int CONNECT_TIMEOUT_MS = 2_000; // an upstream is one or two hops away
  // bytes of an upstream's response that are read in one turn of the loop
  private static final int MAX_READ_BYTES = 64 * 1024;
  private static final long METRICS_LOG_INTERVAL_MS = 60_000;

  private final RelayConfig config;
  private final LongSupplier clock;
  private final Vertx vertx;
  private final Context loop;
  private final HttpClient client;
  private final Distributor distributor;
  private final WatcherServer server;
  // events that arrived while another one was being handled
  private final Deque<Runnable> events = new ArrayDeque<>();
  private boolean handling;
  private UpstreamWatch watch; // null while no watch is open
  private long timer = -1;
  private long timerDueMs = Long.MAX_VALUE;

  /** Creates a relay that is not started yet. */
  public Relay(RelayConfig config) {
    this(config, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /** Creates a relay with the given monotonic clock, in ms. */
  Relay(RelayConfig config, LongSupplier clock) {
    this.config = config;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(true).setEventLoopPoolSize(1)
        .setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
        .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
            .setClassPathResolvingEnabled(false)));
    loop = vertx.getOrCreateContext();
    loop.exceptionHandler(e -> LOG.error("unexpected_exception", e));
    client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS)
        .setMaxChunkSize(MAX_READ_BYTES).setDecompressionSupported(false).setIdleTimeout(0));
    distributor = new Distributor(config.limits(), config.upstreams().size(), config.seed(),
        actions);
    server = new WatcherServer(vertx, loop, config.limits().watchers(), clock, this::metricsText,
        watcherEvents);
  }

  /** Starts to listen, then to follow an upstream; the future fails if the relay can't listen. */
  public Future<Void> start() {
    Promise<Void> listening = Promise.promise();
    loop.runOnContext(v -> server.listen(config.listen()).onComplete(listening));
    return listening.future().onSuccess(v -> loop.runOnContext(ignored -> {
      LOG.info("{} serves on port {}", config.name(), server.port());
      vertx.setPeriodic(METRICS_LOG_INTERVAL_MS, id -> logMetrics());
      handle(() -> distributor.start(now()));
    }));
  }

  /** Returns the port that the relay listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the relay's metrics, one {@code name=value} per line. */
  public Future<String> info() {
    Promise<String> text = Promise.promise();
    loop.runOnContext(v -> text.complete(metricsText()));
    return text.future();
  }

  /** Ends all watches, then stops the event loop. */
  public Future<Void> stop() {
    Promise<Void> stopped = Promise.promise();
    loop.runOnContext(v -> {
      handle(() -> distributor.stop(now()));
      logMetrics();
      stopped.complete();
    });
    return stopped.future().compose(v -> vertx.close());
  }

  /** Runs a tick as a timer would; tests call it after they have advanced the clock. */
  void wake() {
    loop.runOnContext(v -> handle(() -> distributor.tick(now())));
  }

  private long now() {
    return clock.getAsLong();
  }

  private void logMetrics() {
    LOG.info("metrics {}", metricsText().strip().replace('\n', ' '));
  }

  private String metricsText() {
    RelayStatus status = distributor.status(now());
    String upstream = status.upstream() < 0 ? "none"
        : config.upstreams().get(status.upstream()).toString();
    return RelayMetrics.text(status, upstream, server);
  }

  /**
   * Handles events one after the other. An event that an action raises immediately is handled after
   * the event that caused the action.
   */
  private void handle(Runnable event) {
    events.add(event);
    if (handling) return;
    handling = true;
    try {
      for (Runnable next = events.poll(); next != null; next = events.poll()) next.run();
    } finally {
      handling = false;
    }
    setTimer();
  }

  private void setTimer() {
    long dueMs = distributor.nextTickAtMs();
    if (dueMs >= timerDueMs) return;
    if (timer >= 0) vertx.cancelTimer(timer);
    timerDueMs = dueMs;
    timer = vertx.setTimer(Math.max(1, dueMs - now()), id -> {
      timer = -1;
      timerDueMs = Long.MAX_VALUE;
      handle(() -> distributor.tick(now()));
    });
  }

  private final DistributorActions actions = new DistributorActions() {
    @Override
    public void openUpstream(int upstream, Version since) {
      if (watch != null) watch.close();
      watch = new UpstreamWatch(loop, upstream, config.limits().entries(), upstreamEvents);
      watch.open(client, config.upstreams().get(upstream), since);
    }

    @Override
    public void closeUpstream(int upstream, Reason reason) {
      LOG.info("watch_ended upstream={} reason={}", config.upstreams().get(upstream), reason);
      if (watch != null) watch.close();
      watch = null;
    }

    @Override
    public void send(long watcher, Message message) {
      server.send(watcher, message);
    }

    @Override
    public void closeWatcher(long watcher, Reason reason) {
      if (reason == Reason.TOO_MANY_WATCHERS) server.refuse(watcher);
      else server.close(watcher, reason == Reason.STOPPING);
    }
  };

  private final UpstreamWatch.Listener upstreamEvents = new UpstreamWatch.Listener() {
    @Override
    public void opened(int upstream) {
      LOG.info("watch_opened upstream={}", config.upstreams().get(upstream));
      handle(() -> distributor.upstreamOpened(upstream, now()));
    }

    @Override
    public void updateReceived(int upstream, Update update) {
      handle(() -> distributor.upstreamUpdated(upstream, update, now()));
    }

    @Override
    public void alive(int upstream) {
      handle(() -> distributor.upstreamAlive(upstream, now()));
    }

    @Override
    public void failed(int upstream, Failure failure, String cause) {
      LOG.info("watch_failed upstream={} failure={} error={}", config.upstreams().get(upstream),
          failure, cause);
      watch = null;
      handle(() -> distributor.upstreamFailed(upstream, failure, now()));
    }
  };

  private final WatcherServer.Listener watcherEvents = new WatcherServer.Listener() {
    @Override
    public void opened(long watcher, Version since) {
      handle(() -> distributor.watcherOpened(watcher, since, now()));
    }

    @Override
    public void drained(long watcher) {
      handle(() -> distributor.watcherDrained(watcher, now()));
    }

    @Override
    public void progressed(long watcher) {
      handle(() -> distributor.watcherProgressed(watcher, now()));
    }

    @Override
    public void closed(long watcher) {
      handle(() -> distributor.watcherClosed(watcher, now()));
    }
  };
}
