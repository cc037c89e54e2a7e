package saltlatch.wire.appserver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
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
import saltlatch.state.NodeMetrics;
import saltlatch.state.RequestContext;
import saltlatch.wire.client.ClientCommandDecoder;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.ManualScheduler;

/**
 * The bytes that an app server gets, and how calls end; on real connections, with a clock that the
 * test moves.
 */
@Timeout(60)
class AppServerClientTest {
  private static final int SERVER = 0;
  private static final long TIMEOUT_TICKS = 4_800;
  private static final long CONNECT_TIMEOUT_TICKS = 50_000;
  private static final long IDLE_TIMEOUT_TICKS = 100_000;
  private static final int MAX_CONNECTIONS = 4;
  private static final String COMMAND = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
      + "$2\r\n10\r\n$17\r\nc=a,t=b,d=9000,e=\r\n";
  private static final String ANSWER = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

  private final InFlightRequests requests = new InFlightRequests(1 << 20);
  private final List<String> ends = new ArrayList<>();
  private boolean mayStart = true;
  private Vertx vertx;
  private ManualScheduler scheduler;
  private ServerSocket appServer;
  private Socket connection;
  private AppServerClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    scheduler = new ManualScheduler(vertx.getOrCreateContext());
    appServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    appServer.setSoTimeout(20_000);
    scheduler.runOnLoop(() -> {
      client = new AppServerClient(vertx, scheduler, new EndRecorder(), new NodeMetrics(),
          CONNECT_TIMEOUT_TICKS, IDLE_TIMEOUT_TICKS, MAX_CONNECTIONS);
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

  /** A client's request as it is once its command was decoded. */
  private RequestContext request(String command) throws Exception {
    RespDecoder decoder = new RespDecoder();
    decoder.feed(Buffer.buffer(command));
    List<RespValue> words = ((RespValue.Array) decoder.next()).elements();
    return requests.register(ClientCommandDecoder.decode(words), null);
  }

  private String received(int length) throws IOException {
    if (connection == null) {
      connection = appServer.accept();
      connection.setSoTimeout(20_000);
    }
    return new String(connection.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  private void reply(String text, int endsSoFar) throws Exception {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    awaitEnds(endsSoFar);
  }

  private void awaitEnds(int count) throws Exception {
    boolean[] reached = new boolean[1];
    while (!reached[0]) scheduler.runOnLoop(() -> reached[0] = ends.size() == count);
  }

  /** A short request, of which an attempt has come whole to the app server. */
  private RequestContext startedAttempt(long timeoutTicks) throws Exception {
    RequestContext request = request(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, timeoutTicks));
    receivedCommand();
    return request;
  }

  /** Reads one forwarded command, which ends in its terms. */
  private void receivedCommand() throws IOException {
    StringBuilder command = new StringBuilder();
    while (!command.toString().endsWith(",e=\r\n")) command.append(received(1));
  }

  @Test
  void forwardedCommandWithoutBody() throws Exception {
    RequestContext request = request("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n"
        + "$16\r\n9b1f03aa5c7e2d41\r\n$42\r\nc=lookup,t=team,d=480,units=2,spread=3,x=y\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n"
        + "$16\r\n9b1f03aa5c7e2d41\r\n$42\r\nc=lookup,t=team,d=480,units=2,spread=3,x=y\r\n";
    assertEquals(expected, received(expected.length()));
  }

  @Test
  void forwardedCommandWithBody() throws Exception {
    RequestContext request = request("*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000B4D65521\r\n"
        + "$2\r\nid\r\n$39\r\nd=2000,c=order,t=team,k=5c0f6e1a2b3d4c5\r\n$4\r\nBODY\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    String expected = "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n00000000B4D65521\r\n"
        + "$2\r\nid\r\n$38\r\nd=480,c=order,t=team,k=5c0f6e1a2b3d4c5\r\n$4\r\nBODY\r\n";
    assertEquals(expected, received(expected.length()));
  }

  /**
   * A connection that takes long to come up uses part of the attempt's time. The app server gets
   * what is left when the command is written: with the whole time it would work on for nobody.
   */
  @Test
  void forwardedCommandGivesTheTimeLeft() throws Exception {
    RequestContext request = request("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$14\r\nc=a,t=b,d=9000\r\n");
    scheduler.runOnLoop(() -> {
      client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS);
      scheduler.advanceOnLoop(305);
    });
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$13\r\nc=a,t=b,d=449\r\n";
    assertEquals(expected, received(expected.length()));
  }

  /** Never 0: an app server may take that for no limit. */
  @Test
  void forwardedCommandGivesOneMillisecondAtLeast() throws Exception {
    RequestContext request = request("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$14\r\nc=a,t=b,d=9000\r\n");
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, 9));
    String expected = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
        + "$2\r\n10\r\n$11\r\nc=a,t=b,d=1\r\n";
    assertEquals(expected, received(expected.length()));
  }

  /** A health check, and a command behind it on the same connection: nothing else is written. */
  @Test
  void healthCheckCommand() throws Exception {
    scheduler.runOnLoop(() -> client.checkHealth(SERVER, TIMEOUT_TICKS));
    String expected = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";
    assertEquals(expected, received(expected.length()));
    reply("$10\r\ninflight=7\r\n", 1);
    scheduler.advance(30);
    scheduler.runOnLoop(() -> client.checkHealth(SERVER, TIMEOUT_TICKS));
    assertEquals(expected, received(expected.length()));
    reply("-NOPERM\r\n", 2);
    assertEquals(List.of("health check ANSWERED inflight=7", "health check MALFORMED_REPLY "),
        ends);
    assertEquals("", received(1));
  }

  @Test
  void answeredAttempt() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    reply(ANSWER, 1);
    assertEquals(List.of("attempt 0 ANSWERED"), ends);
  }

  /**
   * An app server sends a second reply right behind the first. On a connection that is used again
   * it would be taken for the next request's answer, and that client would get another's value.
   */
  @Test
  void bytesBehindAReplyEndTheConnection() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    reply(ANSWER + ANSWER, 1);
    assertEquals(List.of("attempt 0 ANSWERED"), ends);
    assertEquals("", received(1));
  }

  /**
   * A second reply may also come a moment later. A connection rests before it is used again, so a
   * request that comes at once gets a new one, and one that comes later the old one.
   */
  @Test
  void connectionRestsBeforeItIsUsedAgain() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    reply(ANSWER, 1);
    Socket first = connection;
    scheduler.advance(29);
    connection = null;
    startedAttempt(TIMEOUT_TICKS);
    Socket second = connection;
    connection = first;
    scheduler.advance(1);
    startedAttempt(TIMEOUT_TICKS);
    second.close();
  }

  @Test
  void timedOutAttemptEndsItsConnection() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    scheduler.advance(TIMEOUT_TICKS - 1);
    assertEquals(List.of(), ends);
    scheduler.advance(1);
    assertEquals(List.of("attempt 0 TIMED_OUT"), ends);
    assertEquals("", received(1));
  }

  @Test
  void timedOutBeforeTheConnectionIsUp() throws Exception {
    RequestContext request = request(COMMAND);
    scheduler.runOnLoop(() -> {
      client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS);
      scheduler.advanceOnLoop(TIMEOUT_TICKS);
    });
    assertEquals(List.of("attempt 0 TIMED_OUT_UNWRITTEN"), ends);
    assertEquals("", received(1));
  }

  /**
   * A reply gives a wrong length, and its end never comes. Its request would be in flight until the
   * client's own timeout; it ends after the time that a connection may take to come up.
   */
  @Test
  void replyWithoutItsEnd() throws Exception {
    startedAttempt(Long.MAX_VALUE / 2);
    connection.getOutputStream().write("*3\r\n$200\r\nok".getBytes(StandardCharsets.ISO_8859_1));
    while (ends.isEmpty()) scheduler.advance(CONNECT_TIMEOUT_TICKS);
    assertEquals(List.of("attempt 0 MALFORMED_REPLY"), ends);
    assertEquals("", received(1));
  }

  @Test
  void cancelledAttemptEndsItsConnection() throws Exception {
    RequestContext request = startedAttempt(TIMEOUT_TICKS);
    scheduler.runOnLoop(() -> client.cancelAttempt(request, 1));
    assertEquals(List.of(), ends);
    scheduler.runOnLoop(() -> client.cancelAttempt(request, 0));
    assertEquals(List.of("attempt 0 CANCELLED"), ends);
    assertEquals("", received(1));
  }

  @Test
  void lostConnection() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    connection.close();
    awaitEnds(1);
    assertEquals(List.of("attempt 0 CONNECTION_LOST"), ends);
  }

  @Test
  void refusedConnection() throws Exception {
    appServer.close();
    RequestContext request = request(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    awaitEnds(1);
    assertEquals(List.of("attempt 0 CONNECT_FAILED"), ends);
  }

  /**
   * While a connection comes up, what allowed the attempt can pass: its client has gone away, or
   * the app server is draining. The policy is asked once more, and nothing is written.
   */
  @Test
  void withdrawnAttemptWritesNothing() throws Exception {
    mayStart = false;
    RequestContext request = request(COMMAND);
    scheduler.runOnLoop(() -> client.startAttempt(request, 0, SERVER, TIMEOUT_TICKS));
    assertEquals("", received(1));
    awaitEnds(1);
    assertEquals(List.of("attempt 0 WITHDRAWN"), ends);
  }

  @Test
  void noConnectionBeyondTheLimit() throws Exception {
    RequestContext request = request(COMMAND);
    scheduler.runOnLoop(() -> {
      for (int attempt = 0; attempt <= MAX_CONNECTIONS; attempt++) {
        client.startAttempt(request, attempt, SERVER, TIMEOUT_TICKS);
      }
    });
    assertEquals(List.of("attempt 4 NO_CONNECTION_FREE"), ends);
  }

  /** At half of the app server's idle time, or 2 s before its end, whichever is later. */
  @Test
  void idleConnectionIsClosedBeforeTheAppServerDoes() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    reply(ANSWER, 1);
    scheduler.advance(IDLE_TIMEOUT_TICKS - 20_000);
    connection.setSoTimeout(200);
    assertThrows(SocketTimeoutException.class, () -> received(1));
    scheduler.advance(5_000);
    connection.setSoTimeout(20_000);
    assertEquals("", received(1));
  }

  /** The number of a server that has left the list goes to another once nothing is in flight. */
  @Test
  void serverIsRemovedOnceNothingIsInFlight() throws Exception {
    startedAttempt(TIMEOUT_TICKS);
    List<Boolean> removed = new ArrayList<>();
    scheduler.runOnLoop(() -> removed.add(client.remove(SERVER)));
    reply(ANSWER, 1);
    scheduler.runOnLoop(() -> removed.add(client.remove(SERVER)));
    assertEquals(List.of(false, true), removed);
    assertEquals("", received(1));
  }
}
