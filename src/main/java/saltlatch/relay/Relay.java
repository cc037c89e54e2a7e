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
 * One relay on one event loop: turns sockets into events of a {@link Distributor} and its actions
 * into sockets. What to do is decided there alone.
 */
public final class Relay {
  private static final Logger LOG = LoggerFactory.getLogger(Relay.class);
  private static final int CONNECT_MS = 2_000; // an upstream is a machine or two away
  // of an upstream's answer, read in one turn of the loop
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final long FIGURES_MS = 60_000; // between lines of figures in the log

  private final RelayConfig config;
  private final LongSupplier clock;
  private final Vertx vertx;
  private final Context loop;
  private final HttpClient client;
  private final Distributor distributor;
  private final WatcherServer server;
  // those that came while another was being handled
  private final Deque<Runnable> events = new ArrayDeque<>();
  private boolean handling;
  private UpstreamWatch watch; // null while none is open
  private long timer = -1;
  private long timerDue = Long.MAX_VALUE;

  /** A relay that is not started yet. */
  public Relay(RelayConfig config) {
    this(config, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /** A relay by another clock: monotonic, in ms. */
  Relay(RelayConfig config, LongSupplier clock) {
    this.config = config;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(true).setEventLoopPoolSize(1)
        .setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
        .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
            .setClassPathResolvingEnabled(false)));
    loop = vertx.getOrCreateContext();
    loop.exceptionHandler(e -> LOG.error("unexpected_exception", e));
    client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_MS)
        .setMaxChunkSize(MAX_CHUNK_BYTES).setDecompressionSupported(false).setIdleTimeout(0));
    distributor = new Distributor(config.limits(), config.upstreams().size(), config.seed(),
        actions);
    server = new WatcherServer(vertx, loop, config.limits().watchers(), clock, this::figures,
        watcherEvents);
  }

  /** Listens, then follows; failed if it can't listen. */
  public Future<Void> start() {
    Promise<Void> listening = Promise.promise();
    loop.runOnContext(v -> server.listen(config.listen()).onComplete(listening));
    return listening.future().onSuccess(v -> loop.runOnContext(x -> {
      LOG.info("{} serves on port {}", config.name(), server.port());
      vertx.setPeriodic(FIGURES_MS, t -> logFigures());
      handle(() -> distributor.start(now()));
    }));
  }

  /** The port it listens on. */
  public int port() {
    return server.port();
  }

  /** Its figures, a {@code name=value} line each. */
  public Future<String> info() {
    Promise<String> text = Promise.promise();
    loop.runOnContext(v -> text.complete(figures()));
    return text.future();
  }

  /** Ends all watches, then the loop. */
  public Future<Void> stop() {
    Promise<Void> stopped = Promise.promise();
    loop.runOnContext(v -> {
      handle(() -> distributor.stop(now()));
      logFigures();
      stopped.complete();
    });
    return stopped.future().compose(v -> vertx.close());
  }

  /** Looks at the clock, as a timer would: for a clock that was put on. */
  void wake() {
    loop.runOnContext(v -> handle(() -> distributor.tick(now())));
  }

  private long now() {
    return clock.getAsLong();
  }

  private void logFigures() {
    LOG.info("metrics {}", figures().strip().replace('\n', ' '));
  }

  private String figures() {
    RelayStatus status = distributor.status(now());
    String upstream = status.upstream() < 0 ? "none"
        : config.upstreams().get(status.upstream()).toString();
    return RelayMetrics.text(status, upstream, server);
  }

  /**
   * Handles one event after the other: what an action brings about at once comes behind the event
   * that caused it.
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
    long due = distributor.nextTickAtMs();
    if (due >= timerDue) return;
    if (timer >= 0) vertx.cancelTimer(timer);
    timerDue = due;
    timer = vertx.setTimer(Math.max(1, due - now()), t -> {
      timer = -1;
      timerDue = Long.MAX_VALUE;
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
