package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some app servers' good answers are followed by a second copy some milliseconds later, while
 * nothing else waits on that connection. Each client has to get the value made for its own request.
 */
final class Case1 {
  private static final int APP_SERVERS = 9;
  /** Clients hold a third of a node's 1,024 descriptors at most. */
  private static final int MAX_CONNECTIONS = 341;
  private static final double REQUESTS_PER_SECOND = 140;
  private static final double SECONDS = 50;
  private static final double COPY_SHARE = 0.15;
  /** The second copy leaves the app server so long after the first. */
  private static final double MIN_COPY_LATE_MS = 4;
  private static final double MAX_COPY_LATE_MS = 8;
  private static final double MIN_WORK_MS = 20;
  private static final double MAX_WORK_MS = 200;

  private final boolean trouble;
  private final Recorder record;
  private final Random random = new Random(1);
  private final Set<String> made = ConcurrentHashMap.newKeySet();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();

  private Case1(Recorder record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  private synchronized double between(double low, double high) {
    return low + random.nextDouble() * (high - low);
  }

  private void work(AppServer server, AppServer.Connection connection, AppServer.Command command)
      throws IOException, InterruptedException {
    record.line("%s begins %s", server.name, command.id());
    AppServer.sleepMs(between(MIN_WORK_MS, MAX_WORK_MS));
    made.add(command.id());
    boolean copy = trouble && between(0, 1) < COPY_SHARE && !connection.isCommandWaiting();
    double copyAtMs = record.nowMs() + between(MIN_COPY_LATE_MS, MAX_COPY_LATE_MS);
    connection.serve(command);
    record.line("%s answers %s", server.name, command.id());
    if (!copy) return;
    AppServer.sleepMs(copyAtMs - record.nowMs());
    // As the pages have it, the copy comes only where nothing else waits on the connection.
    if (connection.isCommandWaiting() || connection.hasEnded()) return;
    copies.incrementAndGet();
    connection.serve(command);
    record.line("%s answers %s a second time", server.name, command.id());
  }

  private void answered(String id, NodeProcess node, String answer) {
    if (answer == null || !answer.startsWith("$")) {
      notServed.incrementAndGet();
    } else if (answer.substring(1).equals(AppServer.valueFor(id))) {
      served.incrementAndGet();
    } else if (foreign.incrementAndGet() <= 20) {
      record.say("BROKEN: the client of %s was served %s by %s%s", id, answer.substring(1),
          node.name, made.contains(id) ? "" : ", before an app server had made its value");
    }
  }

  private int play(Path root) throws IOException, InterruptedException {
    try (Deployment deployment = new Deployment(record, root, APP_SERVERS, this::work)) {
      if (!deployment.start()) return Verdict.COULD_NOT_RUN;
      Clients clients = new Clients(record, deployment.nodes, 7, MAX_CONNECTIONS, this::answered);
      clients.sendUntil(record.nowMs() + SECONDS * 1000, REQUESTS_PER_SECOND);
      clients.awaitAnswers(10_000);
      record.say("second copies sent %d, served %d, served a foreign value %d, not served %d",
          copies.get(), served.get(), foreign.get(), notServed.get());
      if (served.get() < SECONDS * REQUESTS_PER_SECOND / 2) return Verdict.COULD_NOT_RUN;
      return foreign.get() > 0 ? Verdict.BROKEN : Verdict.HELD;
    }
  }

  public static void main(String[] arguments) throws Exception {
    Verdict.run(arguments, (record, root, trouble) -> new Case1(record, trouble).play(root));
  }
}
