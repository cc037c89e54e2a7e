package saltlatch.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.load.LoadRunner;
import saltlatch.lab.plan.OpenLoopSchedule;
import saltlatch.lab.scenario.Scenario;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;

/**
 * {@code load}: sends the scenario's open-loop schedule to edge nodes that already listen on
 * loopback ports.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
    description = "Offer the scenario's load, open loop, to edge nodes on loopback; print outcomes and latency.")
final class LoadCommand implements Callable<Integer> {
  @Option(names = "--scenario", required = true,
      description = "scenario file (TOML, see docs/lab.md)") Path scenario;

  @Option(names = "--ports", split = ",",
      description = "the nodes' client ports on 127.0.0.1") List<Integer> ports;

  @Option(names = "--echo",
      description = "measure the load tool itself: send to an in-process server that "
          + "answers every command at once with a value, instead of to nodes") boolean echo;

  @Override
  public Integer call() throws Exception {
    Scenario loaded = Scenario.read(scenario);
    Vertx echoVertx = null;
    if (echo) {
      echoVertx = Vertx
          .vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(true));
      NetServer server = echoVertx.createNetServer().connectHandler(socket -> {
        RespDecoder decoder = new RespDecoder();
        socket.handler(data -> {
          decoder.feed(data);
          try {
            for (RespValue command = decoder.next(); command != null; command = decoder.next())
              socket.write("$2\r\nok\r\n");
          } catch (FramingException e) {
            socket.close();
          }
        });
      });
      ports = List.of(server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get()
          .actualPort());
    } else if (ports == null || ports.isEmpty()) {
      System.err.println("saltlatch load: expected --ports or --echo, found neither");
      return 2;
    }
    List<OpenLoopSchedule.Arrival> schedule = OpenLoopSchedule.of(loaded);
    System.out.println(
        "schedule " + OpenLoopSchedule.digest(schedule) + ": " + schedule.size() + " reqs");
    LoadRunner load = new LoadRunner(loaded, schedule, ports, new LabClock());
    load.run().toCompletionStage().toCompletableFuture()
        .get((long) (loaded.seconds() + loaded.load().deadlineMs() / 1000 + 30), TimeUnit.SECONDS);
    System.out.println("tries " + load.attempts() + ", outcomes " + load.outcomes()
        + ", latency us " + load.latency() + ", sender late us " + load.senderLate());
    load.close();
    if (echoVertx != null) echoVertx.close();
    return 0;
  }
}
