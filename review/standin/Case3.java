package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Planned restart of nodes whose clients send many commands at once. All commands of a round are
 * written before SIGTERM; each of them has to get its answer.
 */
final class Case3 {
  private static final int APP_SERVERS = 14;
  private static final int CONNECTIONS = 3;
  private static final int FIRST_BURST = 70;
  private static final int SECOND_BURST = 50;
  private static final double BETWEEN_BURSTS_MS = 300;
  private static final double BEFORE_SIGTERM_MS = 300;
  private static final double MIN_WORK_MS = 80;
  private static final double MAX_WORK_MS = 130;
  /** 20 times the usual work: some quotes of the site cost up to 30 times as much. */
  private static final double HEAVY_WORK_MS = 2_600;
  private static final int TIMEOUT_MS = 4_000;
  /** After SIGTERM, SIGKILL comes no sooner than 3 s and this. */
  private static final double KILL_AFTER_MS = 3_700;
  private static final double AFTER_END_MS = 700;
  private static final int CUSTOMERS = 80;
  private static final long FIRST_CUSTOMER = 0x1b4d65000L;

  private final boolean trouble;
  private final Recorder record;
  private final Random random = new Random(3);
  private final Set<String> heavy = ConcurrentHashMap.newKeySet();
  private long lastId;

  private Case3(Recorder record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  private void work(AppServer server, AppServer.Connection connection, AppServer.Command command)
      throws IOException, InterruptedException {
    record.line("%s begins %s", server.name, command.id());
    AppServer.sleepMs(heavy.contains(command.id()) ? HEAVY_WORK_MS
        : MIN_WORK_MS + random.nextDouble() * (MAX_WORK_MS - MIN_WORK_MS));
    connection.serve(command);
    record.line("%s answers %s", server.name, command.id());
  }

  private Map<String, byte[]> commands(int count, boolean heavyFirst) {
    Map<String, byte[]> commands = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      String id = String.format(Locale.ROOT, "%016x", 0x5c00000000000000L + ++lastId);
      long customer = FIRST_CUSTOMER + lastId % CUSTOMERS;
      String terms = "c=quote,t=" + (customer % 3 == 0 ? "volume" : "basic") + ",d=" + TIMEOUT_MS
          + ",units=1,spread=" + Deployment.NODES + ",first=0";
      if (heavyFirst && i == 0) heavy.add(id);
      commands.put(id, Resp.command("SVC.QUERY", String.format(Locale.ROOT, "%016x", customer), id,
          terms));
    }
    return commands;
  }

  /** Plays one planned restart; returns how many requests got no answer, -1 if it can't run. */
  private long restart(NodeProcess node) throws IOException, InterruptedException {
    List<Pipeline> connections = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) connections.add(new Pipeline(record, node, i));
    for (Pipeline connection : connections) connection.send(commands(FIRST_BURST, true));
    AppServer.sleepMs(BETWEEN_BURSTS_MS);
    for (Pipeline connection : connections) connection.send(commands(SECOND_BURST, false));
    AppServer.sleepMs(BEFORE_SIGTERM_MS);
    for (Pipeline connection : connections) {
      record.say("%s: %d bytes that the node's process has not read", connection,
          connection.unreadBytes());
    }
    double sigtermAtMs = record.nowMs();
    if (trouble) node.terminate();
    for (Pipeline connection : connections) connection.await(sigtermAtMs + KILL_AFTER_MS);
    if (trouble) node.killUnlessEnded(sigtermAtMs + KILL_AFTER_MS);
    AppServer.sleepMs(AFTER_END_MS);
    long unanswered = 0;
    for (Pipeline connection : connections) {
      record.say("%s: %s reset followed", connection, connection.wasReset() ? "a" : "no");
      connection.close();
      unanswered += connection.unanswered();
      record.say("%s%s: sent %d before SIGTERM, without an answer %d, %s",
          connection.unanswered() > 0 ? "BROKEN: " : "", connection, connection.sent(),
          connection.unanswered(), connection.end());
    }
    return unanswered;
  }

  private int play(Path root) throws IOException, InterruptedException {
    try (Deployment deployment = new Deployment(record, root, APP_SERVERS, this::work)) {
      if (!deployment.start()) return Verdict.COULD_NOT_RUN;
      AppServer.sleepMs(3_000);
      long unanswered = 0;
      for (NodeProcess node : deployment.nodes) unanswered += restart(node);
      return unanswered > 0 ? Verdict.BROKEN : Verdict.HELD;
    }
  }

  public static void main(String[] arguments) throws Exception {
    Verdict.run(arguments, (record, root, trouble) -> new Case3(record, trouble).play(root));
  }
}
