package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import saltlatch.state.RequestContext;

/**
 * Commands that arrive while reading is stopped, because too many replies are pending, get their
 * replies whatever closes the connection afterwards.
 */
class StoppedInputTest extends ClientListenerHarness {
  private static final int FIRST_BURST = 70;
  private static final int SECOND_BURST = 50;
  private static final int MAX_PENDING_REPLIES = 64;
  private static final int MAX_READ_BYTES = 16 << 10;

  private boolean rejectsOnArrival;

  @BeforeEach
  void holdOrRejectRequests() {
    holdRequests();
    var holding = onRequest;
    onRequest = (request, client) -> {
      RequestContext context = holding.apply(request, client);
      if (rejectsOnArrival) context.reject(0);
      return context;
    };
  }

  private void awaitArrivals(int minCount) throws Exception {
    scheduler.awaitOnLoop(() -> arrived.size() >= minCount);
  }

  /** Connects and sends more commands than may be pending; none of them is answered yet. */
  private Socket connectAndStopReading() throws Exception {
    Socket socket = connect();
    send(socket, QUERY.repeat(FIRST_BURST));
    awaitArrivals(MAX_PENDING_REPLIES);
    return socket;
  }

  private static String receiveLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.indexOf("\r\n") < 0) {
      String next = receive(socket, 1);
      if (next.isEmpty()) return "closed";
      line.append(next);
    }
    return line.substring(0, line.length() - 2);
  }

  private void rejectFromNowOn() {
    rejectsOnArrival = true;
    List.copyOf(arrived).forEach(request -> request.reject(0));
  }

  /**
   * Guards against review case 3: at SIGTERM, commands that had waited while reading was stopped
   * got no reply, because their connection was closed right after the replies before them.
   */
  @Test
  void answersWaitingCommandsBeforeTheCloseAtShutdown() throws Exception {
    Socket socket = connectAndStopReading();
    send(socket, QUERY.repeat(SECOND_BURST));
    scheduler.runOnLoop(() -> {
      listener.closeConnectionsAfterReply();
      rejectFromNowOn();
    });
    assertEquals(REJECTED.repeat(FIRST_BURST + SECOND_BURST),
        receive(socket, REJECTED.length() * (FIRST_BURST + SECOND_BURST)));
    for (int i = 0; i < 2; i++) scheduler.advance(10);
    assertEnds(socket);
  }

  /** The same when the node ends: all requests are aborted and idle connections are closed. */
  @Test
  void answersWaitingCommandsBeforeTheNodeEnds() throws Exception {
    Socket socket = connectAndStopReading();
    send(socket, QUERY.repeat(SECOND_BURST));
    scheduler.runOnLoop(() -> {
      listener.closeConnectionsAfterReply();
      listener.failPendingAndRejectNew();
      listener.closeIdleConnections();
    });
    for (int i = 0; i < FIRST_BURST + SECOND_BURST; i++) {
      String reply = receiveLine(socket);
      assertTrue(reply.equals("-BUSY") || reply.equals("-ERR aborted"), reply);
    }
    for (int i = 0; i < 2; i++) scheduler.advance(10);
    scheduler.runOnLoop(() -> listener.closeIdleConnections());
    assertEnds(socket);
  }

  /**
   * Guards against ending a command as incomplete whose rest waited while reading was stopped: the
   * sweep comes between the last reply and the next read.
   */
  @Test
  void doesNotTakeACommandForIncompleteWhoseRestWaits() throws Exception {
    Socket socket = connect();
    int begin = QUERY.length() / 2;
    send(socket, QUERY.repeat(MAX_PENDING_REPLIES) + QUERY.substring(0, begin));
    awaitArrivals(MAX_PENDING_REPLIES);
    send(socket, QUERY.substring(begin));
    scheduler.runOnLoop(() -> {
      scheduler.advanceOnLoop(30_000);
      rejectFromNowOn();
      scheduler.advanceOnLoop(2_500);
    });
    assertEquals(REJECTED.repeat(MAX_PENDING_REPLIES + 1),
        receive(socket, REJECTED.length() * (MAX_PENDING_REPLIES + 1)));
  }

  /** Whatever a client sends, at most one read exceeds the limit of pending replies. */
  @Test
  void readsNoMoreThanOneBufferBeyondTheLimit() throws Exception {
    Socket socket = connectAndStopReading();
    Thread writer = new Thread(() -> {
      try {
        send(socket, QUERY.repeat(20_000));
      } catch (IOException e) {
        // the test has ended
      }
    });
    writer.start();
    scheduler.advance(5_000);
    scheduler.runOnLoop(
        () -> assertTrue(arrived.size() <= MAX_PENDING_REPLIES + MAX_READ_BYTES / QUERY.length(),
            arrived.size() + " arrived"));
    socket.close();
    writer.join();
  }
}
