package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar as one process with its real policy. The test acts as its clients, counter,
 * discovery and app server.
 */
@Timeout(120)
abstract class ProcessHarness {
  static final String PING = "*1\r\n$4\r\nPING\r\n";

  final List<Socket> sockets = new ArrayList<>();
  @TempDir Path directory;
  ServerSocket appServer;
  ServerSocket counter;
  ServerSocket discovery;
  Process process;
  int port;

  /** Returns the process's limit of file descriptors, which its configuration states. */
  abstract int descriptorLimit();

  /** Returns the process's memory in MB that its configuration states. */
  int memoryMb() {
    return 192;
  }

  @BeforeEach
  void startProcess() throws Exception {
    appServer = NodeHarness.openServerSocket();
    counter = NodeHarness.openServerSocket();
    discovery = NodeHarness.openServerSocket();
    try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = freePort.getLocalPort();
    }
    String config = Files.readString(Path.of("deploy/sample.json"))
        .replace("\"sockets\":1024", "\"sockets\":" + descriptorLimit())
        .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb())
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
    ProcessBuilder command = new ProcessBuilder("sh", "-c", "ulimit -n " + descriptorLimit()
        + "; exec " + Path.of(System.getProperty("java.home"), "bin", "java")
        + " -XX:+UseSerialGC -Xmx64m -XX:MaxDirectMemorySize=24m -jar target/saltlatch.jar serve");
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

  Socket connectClient() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    client.setSoTimeout(20_000);
    sockets.add(client);
    return client;
  }

  Socket accept(ServerSocket server) throws IOException {
    Socket connection = server.accept();
    connection.setSoTimeout(20_000);
    sockets.add(connection);
    return connection;
  }

  /** Waits until the node serves; returns the client whose PING was answered. */
  Socket awaitReady() throws Exception {
    while (true) {
      assertTrue(process.isAlive());
      try {
        Socket client = connectClient();
        NodeHarness.send(client, PING);
        if (NodeHarness.readLine(client).equals("+PONG")) return client;
      } catch (IOException e) {
        Thread.sleep(20); // not listening yet
      }
    }
  }
}
