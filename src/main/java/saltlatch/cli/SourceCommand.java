package saltlatch.cli;

import io.vertx.core.net.SocketAddress;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import saltlatch.lab.scale.Source;
import saltlatch.lab.scale.SourceList;
import saltlatch.wire.transport.TcpConnector;

/**
 * {@code lab scale source}: runs a substitute for discovery with a list of any size, as a separate
 * process, until the process is ended.
 */
@Command(name = "source", mixinStandardHelpOptions = true,
    description = "Run a substitute for discovery "
        + "with a list of any size that changes at a given rate, until the process is ended.")
final class SourceCommand implements Callable<Integer> {
  private static final int CANT_LISTEN = 3; // exit code
  private static final int START_TIMEOUT_S = 30;

  @Spec CommandSpec spec;

  @Option(names = "--entries", defaultValue = "34000",
      description = "app servers in the list (${DEFAULT-VALUE})") int entries;

  @Option(names = "--changes-per-second", defaultValue = "0",
      description = "entries that change per second; "
          + "POST /lab/rate?per_second=R changes the rate") double changesPerSecond;

  @Option(names = "--listen", defaultValue = "127.0.0.1:0",
      description = "HOST:PORT to listen on; port 0: any free "
          + "port, which is printed at the start") String listen;

  @Option(names = "--puts",
      description = "file for the time of each change: lines of index and put_ns (monotonic)") Path puts;

  @Option(names = "--seed", defaultValue = "1",
      description = "seed of the random choice of the entries that change") long seed;

  @Option(names = "--series",
      description = "include the series in each message: the list's start in Unix ms") boolean series;

  @Override
  public Integer call() throws Exception {
    if (entries < 1 || changesPerSecond < 0) {
      throw new ParameterException(spec.commandLine(),
          "--entries must be at least 1 and --changes-per-second at least 0, found " + entries
              + " and " + changesPerSecond);
    }
    SocketAddress address = TcpConnector.parseAddress(listen);
    try (Writer writer = puts == null ? null : Files.newBufferedWriter(puts)) {
      SourceList list = new SourceList(entries, seed, series ? System.currentTimeMillis() : 0);
      Source source = new Source(list, changesPerSecond, writer);
      int port = source.start(address.host(), address.port()).toCompletionStage()
          .toCompletableFuture().get(START_TIMEOUT_S, TimeUnit.SECONDS);
      System.out.println("source of " + entries + " entries on " + address.host() + ":" + port);
      new CountDownLatch(1).await();
      return 0;
    } catch (ExecutionException e) {
      System.err.println("saltlatch lab scale source: " + listen + ": " + e.getCause());
      return CANT_LISTEN;
    }
  }
}
