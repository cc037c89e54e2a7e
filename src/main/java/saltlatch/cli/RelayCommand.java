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
 * {@code relay CONFIG.json}: follows discovery or another relay and passes its list on, until
 * SIGTERM.
 */
@Command(name = "relay", mixinStandardHelpOptions = true, //
    description = "Follow discovery or another relay and pass the list on to many watchers (docs/relay.md).")
final class RelayCommand implements Callable<Integer> {
  private static final int BAD_CONFIGURATION = 2;
  private static final int CANNOT_LISTEN = 3;
  private static final long STOP_S = 3; // a watcher that takes nothing must not hold up the end

  @Parameters(index = "0", paramLabel = "CONFIG.json", description = "its configuration") Path path;

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
      return BAD_CONFIGURATION;
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
      relay.stop().toCompletionStage().toCompletableFuture().get(STOP_S, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      System.err.println("saltlatch relay: not all watches were ended: " + e);
    }
  }
}
