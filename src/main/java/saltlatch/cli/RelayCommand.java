package saltlatch.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import saltlatch.relay.Relay;
import saltlatch.relay.RelayConfig;
import saltlatch.relay.RelayConfig.InvalidConfigException;
import sun.misc.Signal;

/**
 * {@code relay CONFIG.json}: follows discovery or another relay and forwards its endpoint list to
 * watchers, until SIGTERM or SIGINT.
 */
@Command(name = "relay", mixinStandardHelpOptions = true, //
    description = "Follow discovery or another relay and forward the endpoint list to many watchers (docs/relay.md).")
final class RelayCommand implements Callable<Integer> {
  private static final int INVALID_CONFIGURATION = 2; // exit code
  private static final int CANNOT_LISTEN = 3; // exit code
  private static final long STOP_TIMEOUT_S = 3; // a stalled watcher must not delay the exit

  @Parameters(index = "0", paramLabel = "CONFIG.json",
      description = "the relay's configuration (JSON)") Path path;

  @Override
  public Integer call() throws InterruptedException {
    return run(path, System.err);
  }

  private static int run(Path path, PrintStream err) throws InterruptedException {
    CountDownLatch terminated = new CountDownLatch(1);
    for (String name : new String[] {"TERM", "INT"}) {
      Signal.handle(new Signal(name), signal -> terminated.countDown());
    }
    RelayConfig config;
    try {
      config = RelayConfig.parse(Files.readString(path));
    } catch (IOException | InvalidConfigException e) {
      err.println("saltlatch relay: configuration " + path + ": " + e.getMessage());
      return INVALID_CONFIGURATION;
    }
    Relay relay = new Relay(config);
    try {
      relay.start().toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException e) {
      err.println(
          "saltlatch relay: can't listen on " + config.listen() + ": " + e.getCause().getMessage());
      return CANNOT_LISTEN;
    }
    System.out.println("relay on " + config.listen().host() + ":" + relay.port());
    terminated.await();
    stop(relay);
    return 0;
  }

  private static void stop(Relay relay) throws InterruptedException {
    try {
      relay.stop().toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      System.err.println(
          "saltlatch relay: the watches did not end within " + STOP_TIMEOUT_S + " s: " + e);
    }
  }
}
