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
 * One process of the built jar with its real module; the test is its clients, counter, discovery
 * and app srv.
 */
@Timeout(120)
class ProcessIT {
  private static final String PING = "*1\r\n$4\r\nPING\r\n";
  private static final int DESCRIPTORS = 256;

  private final List<Socket> sockets = new ArrayList<>();
  @TempDir private Path dir;
  private ServerSocket appServer;
  private ServerSocket counter;
  private ServerSocket discovery;
  private Process process;
  private int port;

  @BeforeEach
  void start() throws Exception {
    appServer = NodeHarness.openServerSocket();
    counter = NodeHarness.openServerSocket();
    discovery = NodeHarness.openServerSocket();
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    String config = Files.readString(Path.of("deploy/sample.json"))
        .replace("\"sockets\":1024", "\"sockets\":" + DESCRIPTORS)
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
    Path file = Files.writeString(dir.resolve("config.json"), config);
    ProcessBuilder command = new ProcessBuilder("sh", "-c",
        "ulimit -n " + DESCRIPTORS + "; exec "
            + Path.of(System.getProperty("java.home"), "bin", "java")
            + " -XX:+UseSerialGC -Xmx64m -jar target/saltlatch.jar serve");
    command.environment().put("LB_CONFIG", file.toString());
    process = command.redirectErrorStream(true).redirectOutput(dir.resolve("log.txt").toFile())
        .start();
  }

  @AfterEach
  void end() throws Exception {
    process.destroyForcibly().waitFor();
    for (Socket s : sockets) s.close();
    appServer.close();
    counter.close();
    discovery.close();
  }

  private Socket client() throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
    s.setSoTimeout(20_000);
    sockets.add(s);
    return s;
  }

  private Socket accept(ServerSocket at) throws IOException {
    Socket s = at.accept();
    s.setSoTimeout(20_000);
    sockets.add(s);
    return s;
  }

  private void ready() throws Exception {
    while (true) {
      assertTrue(process.isAlive());
      try {
        Socket c = client();
        NodeHarness.send(c, PING);
        if (NodeHarness.readLine(c).equals("+PONG")) return;
      } catch (IOException e) {
        Thread.sleep(20); // not listening yet
      }
    }
  }

  private int descriptors() throws IOException {
    try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return (int) open.count();
    }
  }

  /**
   * Idle clients fill all that clients may have while discovery is silent: at its return all
   * partners are still reached.
   */
  @Test
  void idleClientsWhileDiscoveryIsDown() throws Exception {
    ready();
    for (int i = 0; i < 400; i++) {
      Socket c = client();
      NodeHarness.send(c, i % 2 == 0 ? PING : "*1\r\n");
    }
    long back = System.nanoTime();
    Socket watch = accept(discovery);
    discovery.setSoTimeout(200);
    try {
      // the newest: earlier ones were given up, each 2 s behind the last
      while (true) watch = accept(discovery);
    } catch (java.net.SocketTimeoutException e) {
      // the one in hand is waited for still
    }
    NodeHarness.readLine(watch);
    NodeHarness.sendFirstChunk(watch,
        "{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-2\",\"address\":\"127.0.0.1:"
            + appServer.getLocalPort()
            + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\"Ready\",\"weight\":1.0,"
            + "\"since_ms\":0}]}\n");
    Socket c = client();
    NodeHarness.send(c, PING);
    assertEquals("+PONG", NodeHarness.readLine(c));
    Socket count = counted(c);
    NodeHarness.readLine(count);
    NodeHarness.send(count, "ok 0\r\n");
    Socket s = accept(appServer);
    NodeHarness.readLines(s, 9);
    NodeHarness.send(s, "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n");
    assertEquals("$2 hi", NodeHarness.readLines(c, 2));
    assertTrue(descriptors() < DESCRIPTORS - 16, descriptors() + " descriptors");
    assertTrue(System.nanoTime() - back < 30_000_000_000L);
  }

  /**
   * The counter's first connection; a node that was starved of its core denies reqs that lay
   * unread: then it asks again.
   */
  private Socket counted(Socket c) throws IOException {
    counter.setSoTimeout(2_000);
    for (int id = 1; id <= 10; id++) {
      NodeHarness.send(c,
          NodeHarness.queryCommand(id).replace("d=900", "d=9000").replace("$39", "$40"));
      try {
        return accept(counter);
      } catch (java.net.SocketTimeoutException e) {
        assertEquals("-BUSY", NodeHarness.readLine(c).substring(0, 5));
      }
    }
    throw new IOException("no count call");
  }

  /**
   * SIGTERM in the instant of readiness and once more: what is asked is still answered, and the
   * process ends by itself.
   */
  @Test
  void endsWhenJustReady() throws Exception {
    ready();
    Socket c = client();
    process.destroy();
    process.destroy();
    long since = System.nanoTime();
    int answered = 0;
    NodeHarness.send(c, PING);
    while (NodeHarness.readLine(c).equals("+PONG")) {
      answered++;
      NodeHarness.send(c, PING);
    }
    assertTrue(answered > 0);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    assertEquals(143, process.exitValue());
    assertTrue(System.nanoTime() - since < 4_500_000_000L,
        Files.readString(dir.resolve("log.txt")));
  }
}
