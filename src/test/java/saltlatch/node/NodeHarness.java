package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;

/**
 * Runs a complete node on loopback sockets with a scripted policy. The test thread acts as client,
 * app server, counter and discovery in turn, so that none of them race.
 */
abstract class NodeHarness {
  /** How long after the end of a connection its reset may come. */
  static final int RESET_WAIT_MS = 50;
  private static final Pattern DEADLINE = Pattern.compile("\\$(\\d+) c=\\S*\\bd=(\\d+)");
  private static final String CLOSE_WAIT = "08"; // the state's code in Linux's /proc/net/tcp

  final BlockingQueue<String> eventTexts = new LinkedBlockingQueue<>();
  final List<Socket> sockets = new ArrayList<>();
  ServerSocket appServer;
  ServerSocket counter;
  ServerSocket discovery;
  DatagramSocket peer;
  EdgeNode node;
  volatile GatewayActions actions;
  boolean stopped;
  volatile Consumer<GatewayEvent> eventHandler = e -> {};
  // the policy's decision on an attempt whose connection is established late
  volatile boolean allowAttemptStart = true;
  final BlockingQueue<String> attemptStartQueries = new LinkedBlockingQueue<>();
  final BlockingQueue<List<String>> batches = new LinkedBlockingQueue<>();

  @BeforeEach
  void startNode() throws Exception {
    appServer = openServerSocket();
    counter = openServerSocket();
    discovery = openServerSocket();
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    node = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    node.start(this::createPolicy).toCompletionStage().toCompletableFuture().get();
    assertEquals("listed CACHED_SNAPSHOT [0 READY]", nextEventText());
  }

  private GatewayPolicy createPolicy(long nowTicks, GatewaySettings settings,
      GatewayActions policyActions) {
    actions = policyActions;
    return new GatewayPolicy() {
      @Override
      public void handle(long nowTicks, List<GatewayEvent> events) {
        events.forEach(event -> {
          eventTexts.add(describe(event));
          eventHandler.accept(event);
        });
        batches.add(events.stream().map(NodeHarness::describe).toList());
      }

      @Override
      public boolean mayStartAttempt(long nowTicks, long requestId, int attempt) {
        attemptStartQueries.add("asked " + requestId + "/" + attempt);
        return allowAttemptStart;
      }
    };
  }

  @AfterEach
  void tearDown() throws Exception {
    for (Socket socket : sockets) socket.close();
    appServer.close();
    counter.close();
    discovery.close();
    peer.close();
    if (!stopped) node.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  String configurationJson() throws IOException {
    return Files.readString(Path.of("deploy/sample.json"))
        .replace("\"countLimit\":30", "\"countLimit\":1000")
        .replace("\"connectTimeout\":250", "\"connectTimeout\":5000")
        .replace("\"listen\":\"127.0.0.1:16379\"", "\"listen\":\"127.0.0.1:0\"")
        .replace("\"peer_listen\":\"127.0.0.1:16379\"", "\"peer_listen\":\"127.0.0.1:0\"")
        .replace("\"peers\":[\"127.0.0.1:16379\"]",
            "\"peers\":[\"127.0.0.1:" + peer.getLocalPort() + "\"]")
        .replace("\"discovery\":\"127.0.0.1:16379\"",
            "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\"")
        .replace("\"counter\":\"127.0.0.1:16379\"",
            "\"counter\":\"127.0.0.1:" + counter.getLocalPort() + "\"")
        .replace("\"address\":\"127.0.0.1:16379\"",
            "\"address\":\"127.0.0.1:" + appServer.getLocalPort() + "\"");
  }

  static String describe(GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestArrived arrived)
      return "arrived " + arrived.requestId() + " waits " + arrived.clientTimeoutTicks() / 10;
    if (event instanceof GatewayEvent.AttemptEnded ended) return "ended " + ended.requestId() + "/"
        + ended.attempt() + " " + ended.outcome() + (ended.requestFinished() ? " over" : "");
    if (event instanceof GatewayEvent.CounterReplied reply)
      return "counted " + reply.counterName() + " " + reply.outcome() + " " + reply.total();
    if (event instanceof GatewayEvent.ClientDisconnected disconnected)
      return "left " + disconnected.requestId();
    if (event instanceof GatewayEvent.HealthChecked check)
      return "probed " + check.outcome() + " " + check.loadReport();
    if (event instanceof GatewayEvent.EndpointsUpdated update) {
      return "listed " + update.kind() + " " + update.endpoints().stream()
          .map(endpoint -> endpoint.serverId() + " " + endpoint.state()).toList();
    }
    if (event instanceof GatewayEvent.GossipReceived gossip)
      return "heard " + gossip.sender() + " " + gossip.message().usage();
    return event.getClass().getSimpleName();
  }

  String nextEventText() throws InterruptedException {
    String text = eventTexts.poll(20, TimeUnit.SECONDS);
    return text == null ? "nothing" : text;
  }

  static ServerSocket openServerSocket() throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(20_000);
    return server;
  }

  Socket accept(ServerSocket server) throws IOException {
    Socket connection = server.accept();
    connection.setSoTimeout(20_000);
    sockets.add(connection);
    return connection;
  }

  /**
   * Closes a client's connection and returns once the close has reached the node's socket. On a
   * busy machine the kernel delivers it some time after the call, and a node whose event loop is
   * blocked until then must find it there.
   */
  void closeAndAwaitFin(Socket client) throws IOException, InterruptedException {
    int port = client.getLocalPort();
    client.close();
    long giveUpAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!isClosedByClient(port)) {
      if (System.nanoTime() > giveUpAtNanos)
        throw new IOException("the client's close did not reach the node within 20 s");
      Thread.sleep(1);
    }
  }

  /** Returns whether the kernel lists the node's end of a connection as closed by the client. */
  private boolean isClosedByClient(int clientPort) throws IOException {
    String rowPattern = String.format(Locale.ROOT, ":%04X [0-9A-F]+:%04X %s .*", node.port(),
        clientPort, CLOSE_WAIT);
    Pattern closedConnection = Pattern.compile(rowPattern);
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String row : Files.readAllLines(Path.of(table))) {
        if (closedConnection.matcher(row).find()) return true;
      }
    }
    return false;
  }

  Socket connectClient() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), node.port());
    client.setSoTimeout(20_000);
    sockets.add(client);
    return client;
  }

  /** Connects a client and has one request rejected; the policy rejects all later ones too. */
  Socket answeredClient() throws IOException {
    eventHandler = event -> actions.reject(requestIdOf(event), 0);
    Socket client = connectClient();
    send(client, queryCommand(0));
    assertEquals("-BUSY", readLine(client));
    return client;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends the head and the first chunk of a chunked HTTP response. */
  static void sendFirstChunk(Socket socket, String body) throws IOException {
    String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
  }

  /** Reads a line without its terminator; returns "closed" at the end of the stream. */
  static String readLine(Socket socket) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) return "closed";
      if (b != '\r') out.write(b);
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Reads a line after something was sent; returns "closed" if the node has ended the connection.
   * Such an end has to be a reset, at once or within 50 ms, since nothing else shows the client
   * that its command was not read.
   */
  static String readLineOrReset(Socket socket) throws Exception {
    try {
      String line = readLine(socket);
      if (!line.equals("closed")) return line;
    } catch (SocketException e) {
      return "closed";
    }
    Thread.sleep(RESET_WAIT_MS);
    assertThrows(IOException.class, () -> send(socket, "*"));
    return "closed";
  }

  static String readLines(Socket socket, int count) throws IOException {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < count; i++) lines.add(readLine(socket));
    return String.join(" ", lines);
  }

  static List<String> infoLines(Socket client) throws IOException {
    send(client, "*1\r\n$4\r\nINFO\r\n");
    List<String> lines = new ArrayList<>();
    for (String line = readLine(client); !line.startsWith("held="); line = readLine(client))
      lines.add(line);
    readLine(client);
    return lines;
  }

  /**
   * Returns a command as an app server received it, with its deadline set to {@code capMs} if the
   * received one is what may be left of that: not longer than {@code capMs}, and shorter by at most
   * the time since {@code sentAtNanos}. Otherwise returns the command unchanged.
   */
  static String withDeadline(long capMs, String command, long sentAtNanos) {
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos) + 1;
    Matcher deadline = DEADLINE.matcher(command);
    if (!deadline.find()) return command;
    long deadlineMs = Long.parseLong(deadline.group(2));
    if (deadlineMs > capMs || deadlineMs < capMs - elapsedMs) return command;
    int extraDigits = Long.toString(capMs).length() - deadline.group(2).length();
    String length = "$" + (Integer.parseInt(deadline.group(1)) + extraDigits);
    return command.replace("$" + deadline.group(1) + " c=", length + " c=")
        .replace("d=" + deadlineMs + ",", "d=" + capMs + ",");
  }

  static String queryCommand(int id) {
    String requestId = Integer.toString(10 + id);
    return "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n$" + requestId.length() + "\r\n"
        + requestId + "\r\n$39\r\nc=read,t=plan,d=900,units=1,spread=1,n=\r\n";
  }

  /**
   * Returns a policy that starts one attempt of each request at the first app server, and fails the
   * request if the attempt ends without its final answer.
   */
  Consumer<GatewayEvent> startAttemptsAndFailUnfinished(long timeoutTicks) {
    return event -> {
      if (event instanceof GatewayEvent.RequestArrived)
        actions.startAttempt(requestIdOf(event), 0, timeoutTicks);
      if (event instanceof GatewayEvent.AttemptEnded ended && !ended.requestFinished())
        actions.fail(ended.requestId());
    };
  }

  static long requestIdOf(GatewayEvent event) {
    return ((GatewayEvent.RequestArrived) event).requestId();
  }
}
