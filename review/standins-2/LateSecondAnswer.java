import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * App servers that send a second copy of some answers, some milliseconds late, and only while
 * nothing else waits on the connection. Checks that every value which a client gets is the one
 * made for its request, and that no non-replayable request runs twice.
 *
 * <p>The case's argument names the answers that get a copy: "value" or "busy".
 */
public final class LateSecondAnswer {
  private static final int SERVERS = 8;
  private static final int CLIENTS = 24;
  private static final int CUSTOMERS = 200;
  private static final long RUN_MS = 40_000;
  /** One way between the halls of the site: 1.4 to 2.6 ms. */
  private static final double LINK_MS = 2.0;
  /** How late a second copy is sent, in ms after the answer. */
  private static final double MIN_LATE_MS = 3.5;
  private static final double MAX_LATE_MS = 7.5;
  /** Of the answers of the chosen kind. */
  private static final double COPY_SHARE = 0.1;
  /** Of the commands, turned away at once since the queue is full; only if KIND is busy. */
  private static final double BUSY_SHARE = 0.15;

  private final Recorder record;
  private final boolean trouble;
  private final boolean copiesBusy;
  private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(2, work -> {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  });
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger passed = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger aborted = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger twice = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();

  private LateSecondAnswer(Recorder record, boolean trouble, boolean copiesBusy) {
    this.record = record;
    this.trouble = trouble;
    this.copiesBusy = copiesBusy;
  }

  public static void main(String[] args) throws Exception {
    Case.play(args, setup -> new LateSecondAnswer(setup.record(), setup.trouble(),
        args[5].equals("busy")).run(setup));
  }

  private int run(Case.Setup setup) throws Exception {
    CounterStandIn counter = new CounterStandIn();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      int number = i;
      Threads.run(() -> {
        while (true) {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          Threads.run(() -> new Connection(number, socket).serve());
        }
      });
      int port = new Link(server.getLocalPort(), LINK_MS).port();
      entries.add(Case.entry("s-" + i, port, "hall-b", "std-3c", i / 4));
    }
    String list = Case.list(entries);
    DiscoveryStandIn discovery = new DiscoveryStandIn(list);
    String config = Case.config(discovery.address(), counter.address(), list, SETTINGS);
    try (EdgeNode node = setup.startNode(config)) {
      record.add("node ready; trouble=%s, copies of %s answers", trouble,
          copiesBusy ? "-BUSY" : "value");
      List<Thread> clients = new ArrayList<>();
      long endNanos = System.nanoTime() + RUN_MS * 1_000_000;
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        clients.add(Threads.run(() -> {
          SplittableRandom random = new SplittableRandom(number);
          while (System.nanoTime() < endNanos) client(node, number, random, endNanos);
        }));
      }
      for (Thread client : clients) client.join();
      Thread.sleep(1_000);
      boolean alive = node.isAlive();
      record.add("node alive=%s: %s", alive, node.info().replace('\n', ' '));
      return verdict(alive);
    }
  }

  private int verdict(boolean alive) {
    String counts = "requests=" + requests + " passed=" + passed + " denied=" + denied + " aborted="
        + aborted + " second copies sent=" + copies + " foreign values=" + foreign
        + " non-replayable requests run twice=" + twice;
    record.add("%s", counts);
    System.out.println(counts);
    if (foreign.get() > 0 || twice.get() > 0) return Case.BROKEN;
    boolean ran = alive && passed.get() > 300 && (!trouble || copies.get() > 20);
    return ran ? Case.HELD : Case.COULD_NOT_RUN;
  }

  // ---- clients

  /** Uses one connection, with one request at a time, until it breaks or the run ends. */
  private void client(EdgeNode node, int number, SplittableRandom random, long endNanos)
      throws InterruptedException {
    try (Socket socket = node.connect()) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      socket.setSoTimeout(10_000);
      while (System.nanoTime() < endNanos) {
        boolean order = random.nextDouble() < 0.38;
        String id = String.format("%016x", random.nextLong());
        String customer = String.format("%016x", 1_000 + random.nextInt(CUSTOMERS));
        String terms = "c=" + (order ? "place-order" : "quote") + ",t=basic,d="
            + (order ? 8_000 : 4_000) + ",units=1,spread=1,first=0";
        requests.incrementAndGet();
        byte[] command = order ? Resp.array("SVC.SUBMIT", customer, id, terms, "body")
            : Resp.array("SVC.QUERY", customer, id, terms);
        socket.getOutputStream().write(command);
        judge(order, id, (String) Resp.read(in));
        Thread.sleep(random.nextInt(150));
      }
    } catch (IOException e) {
      record.add("client %d: %s", number, e);
      Thread.sleep(50);
    }
  }

  private void judge(boolean order, String id, String answer) {
    if (answer.startsWith("$")) {
      passed.incrementAndGet();
      if (answer.equals("$v:" + id)) return;
      foreign.incrementAndGet();
      record.add("BROKEN %s %s got the value %s", order ? "place-order" : "quote", id, answer);
    } else if (answer.startsWith("-BUSY")) {
      denied.incrementAndGet();
      record.add("%s denied: %s", id, answer);
    } else {
      aborted.incrementAndGet();
      record.add("%s aborted: %s", id, answer);
    }
  }

  // ---- app servers

  /** A connection of an app server, which answers one command after the other. */
  private final class Connection {
    private final int server;
    private final OutputStream out;
    private final PushbackInputStream in;
    private final SplittableRandom random = new SplittableRandom();
    private boolean commandWaits; // one has begun to arrive and is not answered

    Connection(int server, Socket socket) throws IOException {
      this.server = server;
      out = socket.getOutputStream();
      in = new PushbackInputStream(socket.getInputStream());
    }

    void serve() throws IOException, InterruptedException {
      while (true) {
        int first = in.read();
        if (first < 0) return;
        synchronized (this) {
          commandWaits = true;
        }
        in.unread(first);
        execute((String[]) Resp.read(in));
      }
    }

    private void execute(String[] words) throws IOException, InterruptedException {
      boolean order = words[0].equals("SVC.SUBMIT");
      if (!order && !words[0].equals("SVC.QUERY")) {
        answer(Resp.line(words[0].equals("PING") ? "+PONG" : "-ERR unknown"), words[0], false);
        return;
      }
      String id = words[2];
      if (copiesBusy && random.nextDouble() < BUSY_SHARE) {
        record.add("s-%d turns %s away", server, id);
        answer(Resp.line("-BUSY"), id, true);
        return;
      }
      int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
      record.add("s-%d runs %s %s", server, words[0], id);
      if (order && count == 2) {
        twice.incrementAndGet();
        record.add("BROKEN place-order %s runs twice", id);
      }
      Thread.sleep(order ? 160 + random.nextInt(130) : 76 + random.nextInt(54));
      answer(Resp.array("v:" + id, "", "qps=5,queue=0"), id, !copiesBusy);
    }

    private void answer(byte[] bytes, String id, boolean mayCopy) throws IOException {
      synchronized (this) {
        out.write(bytes);
        commandWaits = false;
      }
      if (!trouble || !mayCopy || random.nextDouble() >= COPY_SHARE) return;
      double lateMs = random.nextDouble(MIN_LATE_MS, MAX_LATE_MS);
      timers.schedule(() -> copy(bytes, id, lateMs), (long) (lateMs * 1e6), TimeUnit.NANOSECONDS);
    }

    private synchronized void copy(byte[] bytes, String id, double lateMs) {
      try {
        if (commandWaits || in.available() > 0) return;
        out.write(bytes);
        copies.incrementAndGet();
        record.add("s-%d sends a second copy of the answer to %s, %.2f ms late", server, id,
            lateMs);
      } catch (IOException e) {
        // the connection has ended
      }
    }
  }

  private static final String SETTINGS = "{\"azs\":[\"hall-a\",\"hall-b\"],"
      + "\"machineTypes\":[\"std-3c\"],\"stages\":[\"order-api\"],\"discovery\":\"automatic\","
      + "\"family\":\"gate\",\"me\":0,\"myZone\":0,\"peersTotal\":1,\"tier\":0,\"quantum\":2.0,"
      + "\"weightSource\":\"off\",\"clients\":{\"marksRetry\":false},"
      + "\"report\":{\"fields\":[\"throughput\",\"backlog\"],\"how\":\"inline\"},"
      + "\"categories\":[{\"name\":\"quote\",\"aim\":1000,\"deadline\":4000,"
      + "\"effect\":\"idempotent\",\"importance\":1,\"keyScope\":\"all\",\"lateWorth\":0,"
      + "\"stream\":false,\"window\":5000},{\"name\":\"place-order\",\"aim\":2000,"
      + "\"deadline\":8000,\"effect\":\"at_most_once\",\"importance\":2,\"keyScope\":\"all\","
      + "\"lateWorth\":0,\"stream\":false,\"window\":5000}],"
      + "\"contracts\":[{\"name\":\"basic\",\"refill\":3,\"peakUnits\":12,\"pays\":1.2,"
      + "\"capRate\":0,\"hardBurst\":0,\"tolerance\":0,\"parallel\":0,\"excessCost\":0.6,"
      + "\"overWorth\":0}],\"contract\":{\"askWithin\":10000,\"cold\":15000,\"coldFrom\":0.16,"
      + "\"fallMultiple\":4,\"graceToAnswer\":8,\"stopSendingWithin\":500,\"tipAfter\":1000},"
      + "\"fees\":{\"peer\":0.03,\"probe\":0.01},\"familyInfo\":{\"counter\":true,"
      + "\"countLimit\":30,\"costAfter\":false,\"unitsTop\":4,\"peerInPerS\":60},"
      + "\"limits\":{\"cancelling\":true,\"connIdle\":15000,\"connectTimeout\":250,"
      + "\"maxRetryAfter\":1000,\"mayTell\":true,\"openCap\":20000,\"probing\":true,"
      + "\"retryAfter\":true,\"secondCopies\":true,\"sendCap\":6,\"streamsPerConn\":32}}";
}
