package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import saltlatch.wire.resp.RespText;

/**
 * Clients that together send more than the heap of the packaged jar's process holds. Runs alone,
 * since it asserts times that the node owes its clients.
 */
@Isolated
class MemoryPressureIT extends ProcessHarness {
  private static final int ROUNDS = 2;
  private static final int PIPELINING_CLIENTS = 60;
  private static final int ORDERS_OF_EACH = 100;
  private static final int PIECES = 20;
  private static final int MISSING_BYTES = 2;
  private static final long MAX_PING_MS = 1_000;
  private static final long PING_INTERVAL_MS = 5;
  /** A client that stops in the middle of a request is owed an error or a close within this. */
  private static final long OWED_WITHIN_MS = 3_000;
  private static final String LONG_SUBMIT = RespText.command("SVC.SUBMIT", "0000000000000007", "11",
      "c=read,t=plan,d=8000", "b".repeat(64 << 10));

  @Override
  int descriptorLimit() {
    return 1_024;
  }

  /** Returns how many clients stop in the middle of a command; nearly all that may connect. */
  int stoppingClients() {
    return 500;
  }

  private List<Socket> connectClients(int count) throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) clients.add(connectClient());
    return clients;
  }

  private static void assertNoExceptions(Socket client) throws IOException {
    List<String> metrics = NodeHarness.infoLines(client);
    assertTrue(metrics.contains("exceptions=0"), metrics.toString());
  }

  private static void assertPingIsAnswered(Socket client) throws IOException {
    long sentNanos = System.nanoTime();
    NodeHarness.send(client, PING);
    assertEquals("+PONG", NodeHarness.readLine(client));
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    assertTrue(elapsedMs <= MAX_PING_MS, "PING answered after " + elapsedMs + " ms");
  }

  /**
   * Guards against review case 2: hundreds of clients stop in the middle of a long command and
   * stay. Their buffers filled the heap, and the node answered nobody for seconds. Now it answers a
   * usual client at any time, and the others get their error in time.
   */
  @Test
  void clientsThatStopInLongCommandsDoNotHaltTheNode() throws Exception {
    Socket usual = awaitReady();
    for (int round = 0; round < ROUNDS; round++) {
      List<Socket> stopping = connectClients(stoppingClients());
      sendPartsOfCommands(stopping, usual);
      awaitErrors(stopping, usual);
      for (Socket client : stopping) client.close();
    }
    assertNoExceptions(usual);
  }

  private static void sendPartsOfCommands(List<Socket> stopping, Socket usual) throws IOException {
    byte[] bytes = LONG_SUBMIT.getBytes(StandardCharsets.ISO_8859_1);
    int sentBytes = bytes.length - MISSING_BYTES;
    int pieceBytes = sentBytes / PIECES + 1;
    for (int begin = 0; begin < sentBytes; begin += pieceBytes) {
      int size = Math.min(pieceBytes, sentBytes - begin);
      for (Socket client : stopping) client.getOutputStream().write(bytes, begin, size);
      assertPingIsAnswered(usual);
    }
  }

  /** Reads every client's error while PINGs of the usual client are answered. */
  private static void awaitErrors(List<Socket> stopping, Socket usual) throws Exception {
    long stoppedNanos = System.nanoTime();
    AtomicBoolean allRead = new AtomicBoolean();
    CompletableFuture<Void> pings = CompletableFuture.runAsync(() -> pingUntil(allRead, usual));
    for (Socket client : stopping)
      assertEquals("-ERR command incomplete", NodeHarness.readLine(client));
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos);
    allRead.set(true);
    pings.get();
    assertTrue(elapsedMs <= OWED_WITHIN_MS, "errors after " + elapsedMs + " ms");
  }

  private static void pingUntil(AtomicBoolean done, Socket usual) {
    try {
      while (!done.get()) {
        assertPingIsAnswered(usual);
        Thread.sleep(PING_INTERVAL_MS);
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against clients that send many long orders at once and read all replies: what a stopped
   * connection had read used up the direct memory, and each further read waited for it. Each order
   * gets its reply, and a usual client is answered meanwhile.
   */
  @Test
  void clientsThatPipelineLongOrdersDoNotHaltTheNode() throws Exception {
    Socket usual = awaitReady();
    List<Socket> clients = connectClients(PIPELINING_CLIENTS);
    List<Thread> writers = new ArrayList<>();
    for (Socket client : clients) {
      String firstId = Integer.toString(writers.size());
      writers.add(new Thread(() -> sendOrders(client, firstId)));
    }
    writers.forEach(Thread::start);
    for (Socket client : clients) {
      assertPingIsAnswered(usual);
      for (int i = 0; i < ORDERS_OF_EACH; i++) {
        String reply = NodeHarness.readLine(client);
        assertTrue(reply.startsWith("-BUSY") || reply.startsWith("-ERR"), reply);
      }
    }
    for (Thread writer : writers) writer.join();
    assertNoExceptions(usual);
  }

  private static void sendOrders(Socket client, String firstId) {
    try {
      for (int i = 0; i < ORDERS_OF_EACH; i++) {
        NodeHarness.send(client, RespText.command("SVC.SUBMIT", "0000000000000007",
            firstId + "-" + i, "c=read,t=plan,d=8000", "b".repeat(32 << 10)));
      }
    } catch (IOException e) {
      // the test reads "closed" instead of the replies, and fails
    }
  }
}
