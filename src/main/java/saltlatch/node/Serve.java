package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.Gateway;
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.wire.Door;

/** Start and stop of one edge node. */
public final class Serve {
  private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
  private static final int OWN_DESCRIPTORS = 128; // the JVM's own, the counter's 32, discovery, listening, spare
  private static final int BYTES_PART = 8; // part of the memory for what reqs hold
  private static final long LATE_MS = 500; // after SIGTERM new connections keep coming for up to 0.4 s
  private static final long LONGEST_STOP_MS = 60_000; // SIGKILL comes far sooner

  private final Vertx vertx;
  private final Context loop;
  private final Door door;
  private final Pilot pilot;
  private final Counters counters = new Counters();
  private final CountDownLatch stopped = new CountDownLatch(1);

  private Serve(Station station) {
    vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(true).setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
        .setBlockedThreadCheckInterval(3_600_000)
        .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
    LOG.info("native transport {}", vertx.isNativeTransportEnabled());
    loop = vertx.getOrCreateContext();
    loop.exceptionHandler(e -> {
      counters.add(Count.EXCEPTIONS);
      LOG.error("unexpected", e);
    });
    int links = (station.descriptors() - OWN_DESCRIPTORS) / 2;
    pilot = new Pilot(vertx, loop, station, counters, station.memoryMb() * 1024L * 1024 / BYTES_PART);
    door = new Door(vertx, pilot, counters, links);
  }

  /** Returns a code to end with, or 0 once the node serves. */
  public static int run(Gateway.Maker maker, String path, PrintStream err) {
    Station station;
    try {
      station = Station.of(Files.readString(Path.of(path)));
    } catch (IOException | RuntimeException e) {
      err.println("saltlatch serve: configuration " + path + ": " + e);
      return 2;
    }
    Serve serve = new Serve(station);
    CountDownLatch open = new CountDownLatch(1);
    int[] code = new int[1];
    serve.loop.runOnContext(v -> {
      serve.pilot.start(maker, (station.descriptors() - OWN_DESCRIPTORS) / 2);
      serve.door.open(station.listen()).onComplete(done -> {
        if (done.failed()) {
          err.println("saltlatch serve: listen on " + station.listen() + ": " + done.cause());
          code[0] = 3;
        } else {
          serve.door.ready();
          LOG.info("{} serves on {}", station.name(), station.listen());
        }
        open.countDown();
      });
    });
    try {
      open.await();
    } catch (InterruptedException e) {
      return 3;
    }
    if (code[0] == 0) Runtime.getRuntime().addShutdownHook(new Thread(serve::stop));
    return code[0];
  }

  /** On SIGTERM: goes on until the clients are done, then ends; SIGKILL may come first. */
  private void stop() {
    LOG.info("stops");
    loop.runOnContext(v -> vertx.setTimer(LATE_MS, id -> {
      door.closeWhenIdle();
      vertx.setPeriodic(20, again -> {
        if (door.open() == 0) stopped.countDown();
      });
    }));
    try {
      stopped.await(LONGEST_STOP_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LOG.info("{}", pilot.figures().replace('\n', ' '));
  }
}
