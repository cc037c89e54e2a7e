package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Runs the packaged jar as one process: its limits, and its end after SIGTERM. */
class ProcessIT extends ProcessHarness {
  private static final int DESCRIPTOR_LIMIT = 256;

  @Override
  int descriptorLimit() {
    return DESCRIPTOR_LIMIT;
  }

  private int openDescriptors() throws IOException {
    try (Stream<Path> descriptors = Files
        .list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return (int) descriptors.count();
    }
  }

  /**
   * Idle clients use all connections that clients may have while discovery does not respond. When
   * it responds again, the node must still reach discovery, the counter and an app server.
   */
  @Test
  void idleClientsDoNotBlockOtherConnections() throws Exception {
    awaitReady();
    for (int i = 0; i < 400; i++) {
      Socket client = connectClient();
      NodeHarness.send(client, i % 2 == 0 ? PING : "*1\r\n");
    }
    long discoveryBackNanos = System.nanoTime();
    answerWatches(
        "{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-2\",\"address\":\"127.0.0.1:"
            + appServer.getLocalPort()
            + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,"
            + "\"since_ms\":0}]}\n");
    Socket client = connectClient();
    NodeHarness.send(client, PING);
    assertEquals("+PONG", NodeHarness.readLine(client));
    Socket counterConnection = acceptCounterConnection(client);
    NodeHarness.readLine(counterConnection);
    NodeHarness.send(counterConnection, "ok 0\r\n");
    Socket connection = accept(appServer);
    NodeHarness.readLines(connection, 9);
    NodeHarness.send(connection, "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n");
    assertEquals("$2 hi", NodeHarness.readLines(client, 2));
    assertTrue(openDescriptors() < DESCRIPTOR_LIMIT - 16, openDescriptors() + " descriptors");
    assertTrue(System.nanoTime() - discoveryBackNanos < 30_000_000_000L);
  }

  /**
   * Answers each watch with the list as soon as it is accepted, until no newer one arrives. The
   * node gives up a watch without an answer after 2 s and opens the next one within another second,
   * so a test thread that got no CPU time for a while may answer a watch that is closed already.
   */
  private void answerWatches(String list) throws IOException {
    answerWatch(accept(discovery), list);
    discovery.setSoTimeout(3_500);
    try {
      while (true) answerWatch(accept(discovery), list);
    } catch (java.net.SocketTimeoutException e) {
      // no newer watch: the node has received the list
    }
  }

  private static void answerWatch(Socket watch, String list) {
    try {
      NodeHarness.readLine(watch);
      NodeHarness.sendFirstChunk(watch, list);
    } catch (IOException e) {
      // the node has closed this watch and opens another one
    }
  }

  /**
   * Sends requests until the node connects to the counter, and accepts that connection. A node that
   * got no CPU time for a while rejects requests that waited unread; then the next one is sent.
   */
  private Socket acceptCounterConnection(Socket client) throws IOException {
    counter.setSoTimeout(2_000);
    for (int id = 1; id <= 10; id++) {
      NodeHarness.send(client,
          NodeHarness.queryCommand(id).replace("d=900", "d=9000").replace("$39", "$40"));
      try {
        return accept(counter);
      } catch (java.net.SocketTimeoutException e) {
        assertEquals("-BUSY", NodeHarness.readLine(client).substring(0, 5));
      }
    }
    throw new IOException("no counter connection after 10 requests");
  }

  /**
   * SIGTERM comes twice as soon as the node is ready. The node still answers commands, and the
   * process exits by itself.
   */
  @Test
  void exitsAfterSigtermRightAfterReadiness() throws Exception {
    awaitReady();
    Socket client = connectClient();
    process.destroy();
    process.destroy();
    long startNanos = System.nanoTime();
    int answered = 0;
    NodeHarness.send(client, PING);
    while (NodeHarness.readLineOrReset(client).equals("+PONG")) {
      answered++;
      NodeHarness.send(client, PING);
    }
    assertTrue(answered > 0);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    assertEquals(143, process.exitValue());
    assertTrue(System.nanoTime() - startNanos < 4_500_000_000L,
        Files.readString(directory.resolve("log.txt")));
  }
}
