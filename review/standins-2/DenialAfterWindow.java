import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * App servers that apply some uniqued requests, hang, and reset the connection after the window in
 * which the fleet drops repeats. Clients come again, with the same key, only after a denial. Checks
 * that no key is applied twice.
 */
public final class DenialAfterWindow {
  private static final int SERVERS = 4;
  private static final int CLIENTS = 12;
  private static final int CUSTOMERS = 60;
  private static final long RUN_MS = 12_000;
  /** The window of the settings; the stand-ins remember a key a little longer. */
  private static final long WINDOW_MS = 1_500;
  private static final long REMEMBERED_MS = 1_600;
  private static final long DEADLINE_MS = 4_000;
  private static final long RESET_AFTER_MS = 1_800;
  /** Of the commands that are applied. */
  private static final double RESET_SHARE = 0.08;
  private static final int MAX_RETRIES = 3;

  /** Of the first connection that an app server accepts; the next ones count up. */
  private static final long FIRST_SERVER_SEED = 1_000;

  private final Case.Setup setup;
  private final AtomicInteger connections = new AtomicInteger();
  private final Map<String, Long> firstMsByKey = new HashMap<>();
  private final Map<String, AtomicInteger> appliedByKey = new ConcurrentHashMap<>();
  private final AtomicInteger tries = new AtomicInteger();
  private final AtomicInteger passed = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger aborted = new AtomicInteger();
  private final AtomicInteger retries = new AtomicInteger();
  private final AtomicInteger repeats = new AtomicInteger();
  private final AtomicInteger resets = new AtomicInteger();
  private final AtomicInteger twice = new AtomicInteger();

  private DenialAfterWindow(Case.Setup setup) {
    this.setup = setup;
  }

  public static void main(String[] args) throws Exception {
    Case.play(args, setup -> new DenialAfterWindow(setup).run());
  }

  private int run() throws Exception {
    CounterStandIn counter = new CounterStandIn();
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      int number = i;
      Threads.run(() -> {
        while (true) {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          Threads.run(() -> serve(number, socket));
        }
      });
      entries.add(Case.entry("s-" + i, server.getLocalPort(), "ankara-dc1", "std-2c", i / 2));
    }
    String list = Case.list(entries);
    DiscoveryStandIn discovery = new DiscoveryStandIn(list);
    try (EdgeNode node = setup.startNode(
        Case.config(discovery.address(), counter.address(), list, SETTINGS))) {
      setup.record().add("node ready; trouble=%s", setup.trouble());
      List<Thread> clients = new ArrayList<>();
      long endNanos = System.nanoTime() + RUN_MS * 1_000_000;
      for (int i = 0; i < CLIENTS; i++) {
        SplittableRandom random = new SplittableRandom(i);
        clients.add(Threads.run(() -> {
          while (System.nanoTime() < endNanos) client(node, random, endNanos);
        }));
      }
      for (Thread client : clients) client.join();
      setup.record().add("node: %s", node.info().replace('\n', ' '));
      return verdict(node.isAlive());
    }
  }

  private int verdict(boolean alive) {
    String counts = "tries=" + tries + " passed=" + passed + " denied=" + denied + " aborted="
        + aborted + " came again after a denial=" + retries + " repeats dropped=" + repeats
        + " resets=" + resets + " keys applied twice=" + twice;
    setup.record().add("%s", counts);
    System.out.println(counts);
    if (twice.get() > 0) return Case.BROKEN;
    boolean ran = alive && passed.get() > 200 && (!setup.trouble() || resets.get() > 5);
    return ran ? Case.HELD : Case.COULD_NOT_RUN;
  }

  // ---- clients

  private void client(EdgeNode node, SplittableRandom random, long endNanos)
      throws InterruptedException {
    try (Socket socket = node.connect()) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      socket.setSoTimeout(10_000);
      while (System.nanoTime() < endNanos) {
        save(socket, in, random);
        Thread.sleep(random.nextInt(200));
      }
    } catch (IOException e) {
      setup.record().add("client: %s", e);
    }
  }

  /** Sends one request, and comes again after a denial as long as its time lasts. */
  private void save(Socket socket, InputStream in, SplittableRandom random)
      throws IOException, InterruptedException {
    String key = String.format("%016x", random.nextLong());
    String customer = String.format("%016x", 1_000 + random.nextInt(CUSTOMERS));
    long startNanos = System.nanoTime();
    for (int attempt = 0; attempt <= MAX_RETRIES; attempt++) {
      long leftMs = DEADLINE_MS - (System.nanoTime() - startNanos) / 1_000_000;
      if (leftMs < 300) return;
      String id = String.format("%016x", random.nextLong());
      String terms = "c=progress-save,t=standart,d=" + leftMs + ",k=" + key
          + ",units=1,spread=1,first=0";
      tries.incrementAndGet();
      if (attempt > 0) retries.incrementAndGet();
      setup.record().add("client sends %s key %s, d=%d", id, key, leftMs);
      socket.getOutputStream().write(Resp.array("SVC.SUBMIT", customer, id, terms, "body"));
      String answer = (String) Resp.read(in);
      setup.record().add("client got %s for %s key %s", answer, id, key);
      if (answer.startsWith("$")) passed.incrementAndGet();
      else if (answer.startsWith("-BUSY")) denied.incrementAndGet();
      else aborted.incrementAndGet();
      if (!answer.startsWith("-BUSY")) return; // an abort promises nothing
      long pauseMs = answer.length() > 6 ? Long.parseLong(answer.substring(6).trim()) : 0;
      Thread.sleep(pauseMs > 0 ? pauseMs : 50 + random.nextInt(350));
    }
  }

  // ---- app servers

  private void serve(int server, Socket socket) throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(
        FIRST_SERVER_SEED + connections.getAndIncrement());
    InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
    while (true) {
      String[] words = (String[]) Resp.read(in);
      if (!words[0].equals("SVC.SUBMIT")) {
        socket.getOutputStream().write(Resp.line(words[0].equals("PING") ? "+PONG" : "-ERR no"));
        continue;
      }
      String key = Resp.term(words[3], "k");
      if (apply(server, words[2], key) && setup.trouble() && random.nextDouble() < RESET_SHARE) {
        Thread.sleep(RESET_AFTER_MS);
        resets.incrementAndGet();
        setup.record().add("s-%d resets the connection of %s key %s", server, words[2], key);
        socket.setSoLinger(true, 0);
        socket.close();
        return;
      }
      Thread.sleep(70 + random.nextInt(50));
      socket.getOutputStream().write(Resp.array("saved:" + key, "", ""));
    }
  }

  /** Applies a request unless the fleet remembers its key; returns whether it was applied. */
  private boolean apply(int server, String id, String key) {
    long nowMs = System.nanoTime() / 1_000_000;
    synchronized (firstMsByKey) {
      Long firstMs = firstMsByKey.get(key);
      if (firstMs != null && nowMs - firstMs < REMEMBERED_MS) {
        repeats.incrementAndGet();
        setup.record().add("s-%d drops the repeat %s key %s", server, id, key);
        return false;
      }
      firstMsByKey.put(key, nowMs);
    }
    int count = appliedByKey.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    setup.record().add("s-%d applies %s key %s", server, id, key);
    if (count == 2) {
      twice.incrementAndGet();
      setup.record().add("BROKEN key %s is applied twice", key);
    }
    return true;
  }

  private static final String SETTINGS = "{\"azs\":[\"ankara-dc1\"],"
      + "\"machineTypes\":[\"std-2c\"],\"stages\":[\"oynatma-api\"],\"discovery\":\"automatic\","
      + "\"family\":\"gate\",\"me\":0,\"myZone\":0,\"peersTotal\":1,\"tier\":0,\"quantum\":2.0,"
      + "\"weightSource\":\"nominal\",\"clients\":{\"marksRetry\":false},"
      + "\"report\":{\"fields\":[\"utilization\"],\"how\":\"on_probe\"},"
      + "\"categories\":[{\"name\":\"progress-save\",\"aim\":1000,\"deadline\":" + DEADLINE_MS
      + ",\"effect\":\"deduplicated\",\"importance\":2,\"keyScope\":\"all\",\"lateWorth\":0.2,"
      + "\"stream\":false,\"window\":" + WINDOW_MS + "}],"
      + "\"contracts\":[{\"name\":\"standart\",\"refill\":4,\"peakUnits\":16,\"pays\":1.3,"
      + "\"capRate\":0,\"hardBurst\":0,\"tolerance\":0,\"parallel\":0,\"excessCost\":0.6,"
      + "\"overWorth\":0}],\"contract\":{\"askWithin\":10000,\"cold\":15000,\"coldFrom\":0.15,"
      + "\"fallMultiple\":3,\"graceToAnswer\":8,\"stopSendingWithin\":2000,\"tipAfter\":3000},"
      + "\"fees\":{\"peer\":0.041,\"probe\":0.01},\"familyInfo\":{\"counter\":true,"
      + "\"countLimit\":30,\"costAfter\":false,\"unitsTop\":4,\"peerInPerS\":40},"
      + "\"limits\":{\"cancelling\":true,\"connIdle\":15000,\"connectTimeout\":250,"
      + "\"maxRetryAfter\":1000,\"mayTell\":true,\"openCap\":20000,\"probing\":true,"
      + "\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":4,\"streamsPerConn\":32}}";
}
