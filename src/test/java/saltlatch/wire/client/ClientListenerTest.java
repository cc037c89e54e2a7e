package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.ClientRequest;
import saltlatch.state.InFlightRequests;
import saltlatch.state.NodeMetrics;
import saltlatch.state.RequestContext;
import saltlatch.state.RequestContext.ResponseSink;
import saltlatch.wire.transport.ManualScheduler;

/**
 * The bytes of every reply that a client can get, and which connections are closed; on real
 * connections, with a clock that the test moves.
 */
@Timeout(60)
class ClientListenerTest {
  private static final String PING = "*1\r\n$4\r\nPING\r\n";
  private static final String QUERY = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
      + "$2\r\n10\r\n$19\r\nc=read,t=plan,d=900\r\n";
  private static final int MOST_CONNECTIONS = 4;
  private static final String INFO_TEXT = "reqs=1\nheld=0\n";

  private final InFlightRequests requests = new InFlightRequests(1 << 20);
  private final List<Socket> sockets = new ArrayList<>();
  private BiFunction<ClientRequest, ResponseSink, RequestContext> whenArrived = requests::register;
  private Vertx vertx;
  private ManualScheduler scheduler;
  private ClientListener listener;
  private NodeMetrics metrics;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    scheduler = new ManualScheduler(vertx.getOrCreateContext());
    metrics = new NodeMetrics();
    listener = new ClientListener(vertx, scheduler, new ScriptedHandler(), metrics,
        MOST_CONNECTIONS);
    scheduler.runOnLoop(() -> listener.markReady());
    List<Future<?>> open = new ArrayList<>();
    scheduler.runOnLoop(
        () -> open.add(listener.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))));
    ManualScheduler.await(open.get(0));
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) socket.close();
    ManualScheduler.await(vertx.close());
  }

  /** Answers as the test says, and fails what the listener abandons. */
  private final class ScriptedHandler implements ClientListener.Handler {
    @Override
    public RequestContext requestArrived(ClientRequest request, ResponseSink client) {
      return whenArrived.apply(request, client);
    }

    @Override
    public void clientDisconnected(RequestContext request) {}

    @Override
    public void abort(RequestContext request) {
      request.fail();
    }

    @Override
    public String infoText() {
      return INFO_TEXT;
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(20_000);
    sockets.add(socket);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String receive(Socket socket, int length) throws IOException {
    byte[] bytes = socket.getInputStream().readNBytes(length);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** The reply is exactly this: a PING behind it shows that nothing more was written. */
  private void assertReply(String expected, String command) throws IOException {
    Socket socket = connect();
    send(socket, command + PING);
    assertEquals(expected + "+PONG\r\n", receive(socket, expected.length() + 7));
    socket.close();
  }

  /** The reply is exactly this, and the connection ends behind it. */
  private void assertLastReply(String expected, String bytes) throws IOException {
    Socket socket = connect();
    send(socket, bytes);
    assertEquals(expected,
        new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
    socket.close();
  }

  private void answerWith(Consumer<ResponseSink> answer) {
    whenArrived = (request, client) -> {
      answer.accept(client);
      return null;
    };
  }

  @Test
  void repliesToRequests() throws Exception {
    answerWith(client -> client.succeed("hi".getBytes(StandardCharsets.ISO_8859_1)));
    assertReply("$2\r\nhi\r\n", QUERY);
    answerWith(client -> client.succeed(new byte[0]));
    assertReply("$0\r\n\r\n", QUERY);
    answerWith(client -> client.reject(0));
    assertReply("-BUSY\r\n", QUERY);
    answerWith(client -> client.reject(250));
    assertReply("-BUSY 250\r\n", QUERY);
    answerWith(client -> client.fail());
    assertReply("-ERR aborted\r\n", QUERY);
  }

  /** A value of any bytes goes out as it is. */
  @Test
  void valueOfAllBytes() throws Exception {
    byte[] all = new byte[256];
    for (int i = 0; i < all.length; i++) all[i] = (byte) i;
    answerWith(client -> client.succeed(all));
    Socket socket = connect();
    send(socket, QUERY);
    assertEquals("$256\r\n", receive(socket, 6));
    assertArrayEquals(all, socket.getInputStream().readNBytes(256));
    assertEquals("\r\n", receive(socket, 2));
  }

  @Test
  void repliesToOtherCommands() throws Exception {
    assertReply("+PONG\r\n", PING);
    assertReply("+PONG\r\n", "*1\r\n$4\r\nping\r\n");
    assertReply("$14\r\n" + INFO_TEXT + "\r\n", "*1\r\n$4\r\nINFO\r\n");
    assertReply("$14\r\n" + INFO_TEXT + "\r\n", "*2\r\n$4\r\ninfo\r\n$4\r\nload\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n$6\r\nCLIENT\r\n");
    assertReply("-ERR unknown command\r\n", "*0\r\n");
    assertReply("-ERR unknown command\r\n", "*-1\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n$-1\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n:1\r\n");
  }

  @Test
  void repliesToMalformedCommands() throws Exception {
    String expected = "-ERR malformed command\r\n";
    assertReply(expected, "*1\r\n$9\r\nSVC.QUERY\r\n");
    assertReply(expected, QUERY.replace("SVC.QUERY", "SVC.OTHER"));
    assertReply(expected, QUERY.replace("0000000000000007", "000000000000000x"));
    assertReply(expected, QUERY.replace("d=900", "d=9.0"));
    assertReply(expected, QUERY.replace("t=plan", "q=plan"));
  }

  /** What can't be cut into values is answered once, and ends the connection. */
  @Test
  void repliesToLostFraming() throws Exception {
    String error = "-ERR Protocol error: ";
    assertLastReply(error + "no RESP2 value\r\n", "GET / HTTP/1.1\r\n");
    assertLastReply(error + "no RESP2 value\r\n", "\r\n");
    assertLastReply(error + "a command is an array\r\n", "+PING\r\n");
    assertLastReply(error + "a command is an array\r\n", "$4\r\nPING\r\n");
    assertLastReply(error + "bulk string without its end\r\n", "*1\r\n$4\r\nPINGxx");
    assertLastReply(error + "no length: 17\r\n", "*17\r\n");
    assertLastReply(error + "no length: -2\r\n", "*-2\r\n");
    assertLastReply(error + "no length: +1\r\n", "*+1\r\n");
    assertLastReply(error + "no length: x\r\n", "*1\r\n$x\r\n");
    assertLastReply(error + "no length: 65537\r\n", "*1\r\n$65537\r\n");
    assertLastReply(error + "arrays too deep\r\n", "*1\r\n*1\r\n*1\r\n");
    assertLastReply(error + "line too long\r\n", "+" + "x".repeat(1_100));
    String value = "$40000\r\n" + "x".repeat(40_000) + "\r\n";
    assertLastReply(error + "message too long\r\n", "*3\r\n" + value + value);
  }

  /** Commands in front of broken framing get their replies first. */
  @Test
  void repliesInFrontOfLostFraming() throws Exception {
    answerWith(client -> client.reject(0));
    assertLastReply("+PONG\r\n-BUSY\r\n-ERR Protocol error: no RESP2 value\r\n",
        PING + QUERY + "nonsense\r\n" + PING);
  }

  /** A later command that is answered first waits for the one in front. */
  @Test
  void repliesInTheOrderOfCommands() throws Exception {
    List<RequestContext> arrived = new ArrayList<>();
    whenArrived = (request, client) -> {
      arrived.add(requests.register(request, client));
      return arrived.get(arrived.size() - 1);
    };
    Socket socket = connect();
    send(socket, QUERY + QUERY + PING);
    awaitInFlight(2);
    scheduler.runOnLoop(() -> arrived.get(1).reject(7));
    scheduler.runOnLoop(() -> arrived.get(0).succeed(new byte[] {'a'}));
    assertEquals("$1\r\na\r\n-BUSY 7\r\n+PONG\r\n", receive(socket, 23));
  }

  /**
   * A client sends half a command and no more, which would hold its connection for good. After two
   * seconds it gets an error, and the connection ends.
   */
  @Test
  void replyToHalfACommand() throws Exception {
    Socket socket = connect();
    send(socket, PING + "*4\r\n$9\r\nSVC.QU");
    assertEquals("+PONG\r\n", receive(socket, 7));
    scheduler.advance(20_000);
    assertEquals("-ERR command incomplete\r\n", receive(socket, 25));
    assertEquals("", receive(socket, 1));
  }

  /** Past its time this node rejects what comes, and fails what is still in flight. */
  @Test
  void repliesWhileRefusing() throws Exception {
    Socket socket = connect();
    send(socket, QUERY + PING);
    awaitInFlight(1);
    scheduler.runOnLoop(() -> listener.failPendingAndRejectNew());
    assertEquals("-ERR aborted\r\n+PONG\r\n", receive(socket, 21));
    assertReply("-BUSY\r\n", QUERY);
  }

  private void awaitInFlight(int count) throws Exception {
    boolean[] reached = new boolean[1];
    while (!reached[0]) scheduler.runOnLoop(() -> reached[0] = requests.size() == count);
  }

  /** A client that has been answered: its connection is known to be accepted. */
  private Socket answered() throws IOException {
    Socket socket = connect();
    ping(socket);
    return socket;
  }

  private static void ping(Socket socket) throws IOException {
    send(socket, PING);
    assertEquals("+PONG\r\n", receive(socket, 7));
  }

  /**
   * Clients send a request each and stay, until the limit is used up: others could not connect. The
   * connection idle for longest goes.
   */
  @Test
  void newConnectionClosesTheOneIdleForLongest() throws Exception {
    Socket first = answered();
    Socket second = answered();
    Socket third = answered();
    Socket fourth = answered();
    scheduler.advance(20_000);
    ping(first);
    Socket fifth = answered();
    assertEquals("", receive(second, 1));
    for (Socket socket : List.of(first, third, fourth, fifth)) ping(socket);
  }

  /**
   * Connections that send nothing use up the limit. The oldest of them goes before one that was
   * used just now, whose client counts on it.
   */
  @Test
  void newConnectionClosesASilentOneBeforeOneUsedJustNow() throws Exception {
    Socket first = answered();
    Socket silent = connect();
    Socket third = answered();
    Socket fourth = answered();
    Socket fifth = answered();
    assertEquals("", receive(silent, 1));
    for (Socket socket : List.of(first, third, fourth, fifth)) ping(socket);
  }

  /** With a reply pending on every connection, the new one goes. */
  @Test
  void newConnectionIsClosedWhereAllAreNeeded() throws Exception {
    List<Socket> pending = new ArrayList<>();
    for (int i = 0; i < MOST_CONNECTIONS; i++) {
      pending.add(connect());
      send(pending.get(i), QUERY);
    }
    awaitInFlight(MOST_CONNECTIONS);
    assertEquals("", receive(connect(), 1));
    scheduler.runOnLoop(() -> listener.failPendingAndRejectNew());
    for (Socket socket : pending) assertEquals("-ERR aborted\r\n", receive(socket, 14));
  }

  /** By the protocol a connection that sends nothing is ended within 3 s. */
  @Test
  void silentConnectionIsClosed() throws Exception {
    Socket silent = connect();
    answered();
    scheduler.advance(19_999);
    scheduler.advance(5_000);
    assertEquals("", receive(silent, 1));
  }

  @Test
  void replyToPingBeforeReady() throws Exception {
    ClientListener early = new ClientListener(vertx, scheduler, new ScriptedHandler(), metrics,
        MOST_CONNECTIONS);
    List<Future<?>> open = new ArrayList<>();
    scheduler
        .runOnLoop(() -> open.add(early.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))));
    ManualScheduler.await(open.get(0));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), early.port())) {
      socket.setSoTimeout(20_000);
      send(socket, PING);
      assertEquals("-ERR not ready\r\n", receive(socket, 16));
    }
  }
}
