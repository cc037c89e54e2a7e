package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
 * A whole node on loopback sockets, with a scripted module in it. The test's own thread is the
 * client, the app srv, the counter and discovery, each in its turn, so that nothing races.
 */
abstract class NodeHarness {
  private static final Pattern WAIT = Pattern.compile("\\$(\\d+) c=\\S*\\bd=(\\d+)");
  private static final String CLOSE_WAIT = "08"; // Linux' number of the state in /proc/net/tcp

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
  // what the module says of a dispatch whose connection comes up late
  volatile boolean allowAttemptStart = true;
  final BlockingQueue<String> attemptStartQueries = new LinkedBlockingQueue<>();
  final BlockingQueue<List<String>> batches = new LinkedBlockingQueue<>();

  @BeforeEach
  void start() throws Exception {
    appServer = openServerSocket();
    counter = openServerSocket();
    discovery = openServerSocket();
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    node = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    node.start(this::createPolicy).toCompletionStage().toCompletableFuture().get();
    assertEquals("listed CACHED_SNAPSHOT [0 READY]", nextEventText());
  }

  private GatewayPolicy createPolicy(long now, GatewaySettings site, GatewayActions out) {
    actions = out;
    return new GatewayPolicy() {
      @Override
      public void handle(long at, List<GatewayEvent> events) {
        events.forEach(e -> {
          eventTexts.add(describe(e));
          eventHandler.accept(e);
        });
        batches.add(events.stream().map(NodeHarness::describe).toList());
      }

      @Override
      public boolean mayStartAttempt(long at, long rid, int dispatch) {
        attemptStartQueries.add("asked " + rid + "/" + dispatch);
        return allowAttemptStart;
      }
    };
  }

  @AfterEach
  void end() throws Exception {
    for (Socket s : sockets) s.close();
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

  static String describe(GatewayEvent e) {
    if (e instanceof GatewayEvent.RequestArrived a)
      return "arrived " + a.requestId() + " waits " + a.clientTimeoutTicks() / 10;
    if (e instanceof GatewayEvent.AttemptEnded d) return "ended " + d.requestId() + "/"
        + d.attempt() + " " + d.outcome() + (d.requestFinished() ? " over" : "");
    if (e instanceof GatewayEvent.CounterReplied c)
      return "counted " + c.counterName() + " " + c.outcome() + " " + c.total();
    if (e instanceof GatewayEvent.ClientDisconnected c) return "left " + c.requestId();
    if (e instanceof GatewayEvent.HealthChecked p)
      return "probed " + p.outcome() + " " + p.loadReport();
    if (e instanceof GatewayEvent.EndpointsUpdated l) {
      return "listed " + l.kind() + " "
          + l.endpoints().stream().map(x -> x.serverId() + " " + x.state()).toList();
    }
    if (e instanceof GatewayEvent.GossipReceived h)
      return "heard " + h.sender() + " " + h.message().usage();
    return e.getClass().getSimpleName();
  }

  String nextEventText() throws InterruptedException {
    String text = eventTexts.poll(20, TimeUnit.SECONDS);
    return text == null ? "nothing" : text;
  }

  static ServerSocket openServerSocket() throws IOException {
    ServerSocket s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    s.setSoTimeout(20_000);
    return s;
  }

  Socket accept(ServerSocket at) throws IOException {
    Socket s = at.accept();
    s.setSoTimeout(20_000);
    sockets.add(s);
    return s;
  }

  /**
   * Closes a client's connection and returns once its end has reached the node's socket: on a busy
   * machine the system delivers it some time after the close, and a node that is held until then
   * must find it there.
   */
  void closeAndAwaitFin(Socket client) throws IOException, InterruptedException {
    int port = client.getLocalPort();
    client.close();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!isEndAtNode(port)) {
      if (System.nanoTime() > end) throw new IOException("the close did not reach the node");
      Thread.sleep(1);
    }
  }

  /** Whether the system lists the node's side of a client's connection as closed by the client. */
  private boolean isEndAtNode(int clientPort) throws IOException {
    String ends = String.format(Locale.ROOT, ":%04X [0-9A-F]+:%04X %s .*", node.port(), clientPort,
        CLOSE_WAIT);
    Pattern connection = Pattern.compile(ends);
    for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
      for (String row : Files.readAllLines(Path.of(table))) {
        if (connection.matcher(row).find()) return true;
      }
    }
    return false;
  }

  Socket connectClient() throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), node.port());
    s.setSoTimeout(20_000);
    sockets.add(s);
    return s;
  }

  /** A client that has been answered, as all are from now on: come again. */
  Socket answeredClient() throws IOException {
    eventHandler = e -> actions.reject(requestIdOf(e), 0);
    Socket s = connectClient();
    send(s, queryCommand(0));
    assertEquals("-BUSY", readLine(s));
    return s;
  }

  static void send(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The beginning of a chunked answer. */
  static void sendFirstChunk(Socket s, String body) throws IOException {
    String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    send(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
  }

  /** A line without its end; the end of the stream is "closed". */
  static String readLine(Socket s) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    InputStream in = s.getInputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) return "closed";
      if (b != '\r') out.write(b);
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  static String readLines(Socket s, int count) throws IOException {
    List<String> all = new ArrayList<>();
    for (int i = 0; i < count; i++) all.add(readLine(s));
    return String.join(" ", all);
  }

  static List<String> infoLines(Socket c) throws IOException {
    send(c, "*1\r\n$4\r\nINFO\r\n");
    List<String> figures = new ArrayList<>();
    for (String line = readLine(c); !line.startsWith("held="); line = readLine(c))
      figures.add(line);
    readLine(c);
    return figures;
  }

  /**
   * A command as an app server got it, with the time it was told put at {@code capMs} where that is
   * what was left of it: less by what has passed since {@code saidAt} (the clock in ns) at the
   * most, never more. Else it stays as it is.
   */
  static String withDeadline(long capMs, String command, long saidAt) {
    long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - saidAt) + 1;
    Matcher told = WAIT.matcher(command);
    if (!told.find()) return command;
    long toldMs = Long.parseLong(told.group(2));
    if (toldMs > capMs || toldMs < capMs - passedMs) return command;
    int longer = Long.toString(capMs).length() - told.group(2).length();
    String length = "$" + (Integer.parseInt(told.group(1)) + longer);
    return command.replace("$" + told.group(1) + " c=", length + " c=").replace("d=" + toldMs + ",",
        "d=" + capMs + ",");
  }

  static String queryCommand(int id) {
    String name = Integer.toString(10 + id);
    return "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n$" + name.length() + "\r\n" + name
        + "\r\n$39\r\nc=read,t=plan,d=900,units=1,spread=1,n=\r\n";
  }

  static long requestIdOf(GatewayEvent e) {
    return ((GatewayEvent.RequestArrived) e).requestId();
  }
}
