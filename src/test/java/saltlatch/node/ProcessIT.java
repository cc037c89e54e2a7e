package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar as one process with its real policy. The test acts as its clients, counter,
 * discovery and app server.
 */
@Timeout(120)
class ProcessIT {
  private static final String PING = "*1\r\n$4\r\nPING\r\n";
  private static final int DESCRIPTOR_LIMIT = 256;

  private final List<Socket> sockets = new ArrayList<>();
  @TempDir private Path directory;
  private ServerSocket appServer;
  private ServerSocket counter;
  private ServerSocket discovery;
  private Process process;
  private int port;

  @BeforeEach
  void startProcess() throws Exception {
    appServer = NodeHarness.openServerSocket();
    counter = NodeHarness.openServerSocket();
    discovery = NodeHarness.openServerSocket();
    try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = freePort.getLocalPort();
    }
    String config = Files.readString(Path.of("deploy/sample.json"))
        .replace("\"sockets\":1024", "\"sockets\":" + DESCRIPTOR_LIMIT)
        .replace("\"countLimit\":30", "\"countLimit\":5000")
        .replace("\"listen\":\"127.0.0.1:16379\"", "\"listen\":\"127.0.0.1:" + port + "\"")
        .replace("\"peer_listen\":\"127.0.0.1:16379\"",
            "\"peer_listen\":\"127.0.0.1:" + port + "\"")
        .replace("\"peers\":[\"127.0.0.1:16379\"]", "\"peers\":[\"127.0.0.1:" + port + "\"]")
        .replace("\"discovery\":\"127.0.0.1:16379\"",
            "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\"")
        .replace("\"counter\":\"127.0.0.1:16379\"",
            "\"counter\":\"127.0.0.1:" + counter.getLocalPort() + "\"")
        .replace("\"address\":\"127.0.0.1:16379\"", "\"address\":\"127.0.0.1:9\"");
    Path configFile = Files.writeString(directory.resolve("config.json"), config);
    ProcessBuilder command = new ProcessBuilder("sh", "-c",
        "ulimit -n " + DESCRIPTOR_LIMIT + "; exec "
            + Path.of(System.getProperty("java.home"), "bin", "java")
            + " -XX:+UseSerialGC -Xmx64m -jar target/saltlatch.jar serve");
    command.environment().put("LB_CONFIG", configFile.toString());
    process = command.redirectErrorStream(true)
        .redirectOutput(directory.resolve("log.txt").toFile()).start();
  }

  @AfterEach
  void stopProcess() throws Exception {
    process.destroyForcibly().waitFor();
    for (Socket connection : sockets) connection.close();
    appServer.close();
    counter.close();
    discovery.close();
  }

  private Socket connectClient() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    client.setSoTimeout(20_000);
    sockets.add(client);
    return client;
  }

  private Socket accept(ServerSocket server) throws IOException {
    Socket connection = server.accept();
    connection.setSoTimeout(20_000);
    sockets.add(connection);
    return connection;
  }

  private void awaitReady() throws Exception {
    while (true) {
      assertTrue(process.isAlive());
      try {
        Socket client = connectClient();
        NodeHarness.send(client, PING);
        if (NodeHarness.readLine(client).equals("+PONG")) return;
      } catch (IOException e) {
        Thread.sleep(20); // not listening yet
      }
    }
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
    while (NodeHarness.readLine(client).equals("+PONG")) {
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
