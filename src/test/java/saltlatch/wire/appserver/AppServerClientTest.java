package saltlatch.wire.appserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.InFlightRequests;
import saltlatch.state.MemoryBudget;
import saltlatch.state.NodeMetrics;
import saltlatch.state.RequestContext;
import saltlatch.wire.client.ClientCommandDecoder;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.ManualScheduler;

/**
 * Tests the bytes that an app server receives and the results of calls. Uses real connections and a
 * manual clock.
 */
@Timeout(60)
class AppServerClientTest {
  private static final int SERVER = 0;
  private static final long TIMEOUT_TICKS = 4_800;
  private static final long CONNECT_TIMEOUT_TICKS = 50_000;
  private static final long IDLE_TIMEOUT_TICKS = 100_000;
  private static final int MAX_CONNECTIONS = 4;
  private static final int INCOMPLETE_REPLY_BYTES = 40 << 10;
  private static final String COMMAND = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
      + "$2\r\n10\r\n$17\r\nc=a,t=b,d=9000,e=\r\n";
  private static final String REPLY = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

  private final InFlightRequests requests = new InFlightRequests(new MemoryBudget(1 << 20));
  private final List<String> ends = new ArrayList<>();
  private boolean mayStart = true;
  private Vertx vertx;
  private ManualScheduler scheduler;
  private ServerSocket appServer;
  private Socket connection;
  private AppServerClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(true)); // as the node
    scheduler = new ManualScheduler(vertx.getOrCreateContext());
    appServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    appServer.setSoTimeout(20_000);
    scheduler.runOnLoop(() -> {
      client = new AppServerClient(vertx, scheduler, new EndRecorder(), new NodeMetrics(),
          CONNECT_TIMEOUT_TICKS, IDLE_TIMEOUT_TICKS, MAX_CONNECTIONS,
          new MemoryBudget(INCOMPLETE_REPLY_BYTES));
      client.setAddress(SERVER,
          SocketAddress.inetSocketAddress(appServer.getLocalPort(), "127.0.0.1"));
    });
  }

  @AfterEach
  void stop() throws Exception {
    if (connection != null) connection.close();
    appServer.close();
    ManualScheduler.await(vertx.close());
  }

  private final class EndRecorder implements AppServerClient.Listener {
    @Override
    public void attemptEnded(RequestContext request, int attempt, int server, AppServerReply reply,
        long elapsedTicks) {
      ends.add("attempt " + attempt + " " + reply.result());
    }

    @Override
    public void healthCheckEnded(int server, AppServerReply reply, long elapsedTicks) {
      ends.add("health check " + reply.result() + " " + reply.loadReport());
    }

    @Override
    public boolean mayStartAttempt(RequestContext request, int attempt) {
      return mayStart;
    }
  }

  /** Decodes a client's command and registers the request. */
  private RequestContext register(String command) throws Exception {
    RespDecoder decoder = new RespDecoder();
    decoder.feed(Buffer.buffer(command));
    List<RespValue> words = ((RespValue.Array) decoder.next()).elements();
    return requests.register(ClientCommandDecoder.decode(words), null);
  }

  private String receive(int length) throws IOException {
    if (connection == null) {
      connection = appServer.accept();
      connection.setSoTimeout(20_000);
    }
    return new String(connection.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  private void replyAndAwaitEnds(String text, int endCount) throws Exception {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    awaitEnds(endCount);
  }

  private void sendAndClose(String text) {
    try {
      connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      connection.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void awaitEnds(int count) throws Exception {
    scheduler.awaitOnLoop(() -> ends.size() == count);
  }

  /** Starts an attempt of a short request and waits until the app server has received it. */
  private RequestContext startAttempt(long timeoutTicks) throws Exception {
    RequestContext request = register(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, timeoutTicks));
    receiveCommand();
    return request;
  }

  /** Reads one forwarded command without a body; its last term marks its end. */
  private void receiveCommand() throws IOException {
    StringBuilder command = new StringBuilder();
    while (!command.toString().endsWith(",e=\r\n")) command.append(receive(1));
  }

  @Test
  void forwardedCommandWithoutBody() throws Exception {
    RequestContext request = register("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n"
        + "$16\r\n9b1f03aa5c7e2d41\r\n$42\r\nc=lookup,t=team,d=480,units=2,spread=3,x=y\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n"
        + "$16\r\n9b1f03aa5c7e2d41\r\n$42\r\nc=lookup,t=team,d=480,units=2,spread=3,x=y\r\n";
    assertEquals(expected, receive(expected.length()));
  }

  @Test
  void forwardedCommandWithBody() throws Exception {
    RequestContext request = register("*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000B4D65521\r\n"
        + "$2\r\nid\r\n$39\r\nd=2000,c=order,t=team,k=5c0f6e1a2b3d4c5\r\n$4\r\nBODY\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    String expected = "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000B4D65521\r\n"
        + "$2\r\nid\r\n$38\r\nd=480,c=order,t=team,k=5c0f6e1a2b3d4c5\r\n$4\r\nBODY\r\n";
    assertEquals(expected, receive(expected.length()));
  }

  /**
   * Establishing a connection can use up part of the attempt's timeout. The app server gets the
   * time that is left when the command is written. Guards against an app server that continues to
   * work after this node has stopped waiting.
   */
  @Test
  void forwardedCommandContainsTheTimeLeft() throws Exception {
    RequestContext request = register("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$14\r\nc=a,t=b,d=9000\r\n");
    scheduler.runOnLoop(() -> {
      client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS);
      scheduler.advanceOnLoop(305);
    });
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$13\r\nc=a,t=b,d=449\r\n";
    assertEquals(expected, receive(expected.length()));
  }

  /** The time left is never sent as 0, which an app server could interpret as no limit. */
  @Test
  void forwardedTimeLeftIsAtLeastOneMillisecond() throws Exception {
    RequestContext request = register("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$14\r\nc=a,t=b,d=9000\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, 9));
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$11\r\nc=a,t=b,d=1\r\n";
    assertEquals(expected, receive(expected.length()));
  }

  /** Two health checks on one connection; nothing else is written. */
  @Test
  void healthCheckSendsOnlyInfoLoad() throws Exception {
    scheduler.runOnLoop(() -> client.checkHealth(SERVER, TIMEOUT_TICKS));
    String expected = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";
    assertEquals(expected, receive(expected.length()));
    replyAndAwaitEnds("$10\r\ninflight=7\r\n", 1);
    scheduler.advance(30);
    scheduler.runOnLoop(() -> client.checkHealth(SERVER, TIMEOUT_TICKS));
    assertEquals(expected, receive(expected.length()));
    replyAndAwaitEnds("-NOPERM\r\n", 2);
    assertEquals(List.of("health check ANSWERED inflight=7", "health check MALFORMED_REPLY "),
        ends);
    assertEquals("", receive(1));
  }

  @Test
  void attemptIsAnswered() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY, 1);
    assertEquals(List.of("attempt 0 ANSWERED"), ends);
  }

  /** Guards against losing a reply whose connection is reset before the loop reads it. */
  @Test
  void replyInFrontOfAResetAnswersTheAttempt() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    connection.setSoLinger(true, 0);
    scheduler.runOnLoop(() -> sendAndClose(REPLY));
    awaitEnds(1);
    assertEquals(List.of("attempt 0 ANSWERED"), ends);
  }

  /** An app server ends an idle connection in front of an attempt: it may have read the attempt. */
  @Test
  void attemptOnAConnectionThatHasEndedMayHaveRun() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY, 1);
    scheduler.advance(40);
    RequestContext second = register(COMMAND);
    scheduler.runOnLoop(() -> {
      sendAndClose("");
      client.startAttempt(second, 0, SERVER, TIMEOUT_TICKS);
    });
    awaitEnds(2);
    assertEquals(List.of("attempt 0 ANSWERED", "attempt 0 CONNECTION_LOST"), ends);
  }

  /**
   * Guards against an app server that sends a second reply right after the first. If the connection
   * were reused, the next request's client would get the value of another client's request.
   */
  @Test
  void bytesAfterAReplyCloseTheConnection() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY + REPLY, 1);
    assertEquals(List.of("attempt 0 ANSWERED"), ends);
    assertEquals("", receive(1));
  }

  /**
   * A second reply can also arrive shortly after the first. A connection is therefore reused only
   * after a delay: a request before its end gets a new connection, a later one the old connection.
   */
  @Test
  void connectionIsReusedOnlyAfterADelay() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY, 1);
    Socket first = connection;
    scheduler.advance(29);
    connection = null;
    startAttempt(TIMEOUT_TICKS);
    Socket second = connection;
    connection = first;
    scheduler.advance(1);
    startAttempt(TIMEOUT_TICKS);
    second.close();
  }

  @Test
  void timedOutAttemptClosesItsConnection() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    scheduler.advance(TIMEOUT_TICKS - 1);
    assertEquals(List.of(), ends);
    scheduler.advance(1);
    assertEquals(List.of("attempt 0 TIMED_OUT"), ends);
    assertEquals("", receive(1));
  }

  @Test
  void timeoutBeforeTheConnectionIsEstablished() throws Exception {
    RequestContext request = register(COMMAND);
    scheduler.runOnLoop(() -> {
      client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS);
      scheduler.advanceOnLoop(TIMEOUT_TICKS);
    });
    assertEquals(List.of("attempt 0 TIMED_OUT_UNWRITTEN"), ends);
    assertEquals("", receive(1));
  }

  /**
   * Guards against a reply with a wrong length, whose end never arrives: its request would stay in
   * flight until the client's timeout. The attempt ends after the connect timeout instead.
   */
  @Test
  void incompleteReplyTimesOut() throws Exception {
    startAttempt(Long.MAX_VALUE / 2);
    connection.getOutputStream().write("*3\r\n$200\r\nok".getBytes(StandardCharsets.ISO_8859_1));
    while (ends.isEmpty()) scheduler.advance(CONNECT_TIMEOUT_TICKS);
    assertEquals(List.of("attempt 0 MALFORMED_REPLY"), ends);
    assertEquals("", receive(1));
  }

  @Test
  void cancelledAttemptClosesItsConnection() throws Exception {
    RequestContext request = startAttempt(TIMEOUT_TICKS);
    scheduler.runOnLoop(() -> client.cancelAttempt(request, 1));
    assertEquals(List.of(), ends);
    scheduler.runOnLoop(() -> client.cancelAttempt(request, 0));
    assertEquals(List.of("attempt 0 CANCELLED"), ends);
    assertEquals("", receive(1));
  }

  @Test
  void attemptOnALostConnectionEnds() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    connection.close();
    awaitEnds(1);
    assertEquals(List.of("attempt 0 CONNECTION_LOST"), ends);
  }

  @Test
  void attemptOnARefusedConnectionEnds() throws Exception {
    appServer.close();
    RequestContext request = register(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    awaitEnds(1);
    assertEquals(List.of("attempt 0 CONNECT_FAILED"), ends);
  }

  /**
   * While a connection is being established, the attempt can become disallowed: its client has
   * disconnected, or the app server is draining. The policy is asked again, and nothing is written.
   */
  @Test
  void withdrawnAttemptWritesNothing() throws Exception {
    mayStart = false;
    RequestContext request = register(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    assertEquals("", receive(1));
    awaitEnds(1);
    assertEquals(List.of("attempt 0 WITHDRAWN"), ends);
  }

  @Test
  void attemptBeyondTheConnectionLimitEndsAtOnce() throws Exception {
    RequestContext request = register(COMMAND);
    scheduler.runOnLoop(() -> {
      for (int attempt = 0; attempt <= MAX_CONNECTIONS; attempt++) {
        client.startAttempt(request, attempt, SERVER, TIMEOUT_TICKS);
      }
    });
    assertEquals(List.of("attempt 4 NO_CONNECTION_FREE"), ends);
  }

  /** After half of the app server's idle timeout, or 2 s before its end, whichever is later. */
  @Test
  void idleConnectionIsClosedBeforeTheAppServerClosesIt() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY, 1);
    scheduler.advance(IDLE_TIMEOUT_TICKS - 20_000);
    connection.setSoTimeout(200);
    assertThrows(SocketTimeoutException.class, () -> receive(1));
    scheduler.advance(5_000);
    connection.setSoTimeout(20_000);
    assertEquals("", receive(1));
  }

  /** The number of an unlisted server can be reassigned only when no call is in flight. */
  @Test
  void serverIsRemovedWhenNoCallIsInFlight() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    List<Boolean> removed = new ArrayList<>();
    scheduler.runOnLoop(() -> removed.add(client.remove(SERVER)));
    replyAndAwaitEnds(REPLY, 1);
    scheduler.runOnLoop(() -> removed.add(client.remove(SERVER)));
    assertEquals(List.of(false, true), removed);
    assertEquals("", receive(1));
  }

  /**
   * Guards against app servers whose long replies arrive slowly and together fill the heap. A reply
   * for which there is no memory ends its attempt as one that may have run; the connection is kept.
   */
  @Test
  void replyWithoutMemoryEndsTheAttempt() throws Exception {
    startAttempt(TIMEOUT_TICKS);
    String begin = "*3\r\n$65536\r\n" + "x".repeat(40_000);
    connection.getOutputStream().write(begin.getBytes(StandardCharsets.ISO_8859_1));
    replyAndAwaitEnds("x".repeat(25_536) + "\r\n$-1\r\n$-1\r\n", 1);
    assertEquals(List.of("attempt 0 REPLY_OVER_MEMORY_LIMIT"), ends);
    scheduler.advance(100);
    startAttempt(TIMEOUT_TICKS);
    replyAndAwaitEnds(REPLY, 2);
    assertEquals("attempt 0 ANSWERED", ends.get(1));
  }
}
