package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.state.RequestContext;

/**
 * One iteration of the event loop reads from two connections, and the first one's command stops or
 * ends the second one. The loop then still hands over the bytes of the second one: each command
 * among them gets its reply.
 */
class SameIterationReadTest extends ClientListenerHarness {
  // one less than the pending replies at which reading stops; their values fill the socket
  private static final int HELD_REQUESTS = 63;
  // less than the write queue takes, so that the first one which waits does not stop reading
  private static final byte[] VALUE = new byte[60 << 10];
  private static final int REPLY_BYTES = "$61440\r\n".length() + VALUE.length + 2;
  private static final String OUT_OF_MEMORY = "-ERR out of memory\r\n";

  /** Sends on both connections while the loop is busy, so that its next look finds both. */
  private void sendInOneIteration(Socket first, Socket second) throws Exception {
    scheduler.runOnLoop(() -> {
      try {
        send(first, QUERY);
        send(second, QUERY);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
  }

  /** From now on the first request sets the held ones' response; each is rejected itself. */
  private void respondToHeldRequests(byte[] valueOrNull) {
    List<RequestContext> held = List.copyOf(arrived);
    arrived.clear();
    onRequest = (request, client) -> {
      for (RequestContext heldRequest : held) {
        if (heldRequest.isFinished()) continue;
        if (valueOrNull == null) heldRequest.reject(0);
        else heldRequest.succeed(valueOrNull);
      }
      client.reject(0);
      return null;
    };
  }

  /**
   * Guards against a connection that ended after the reply to its last request while its next
   * command was being read: the command was discarded, and its client took it for lost.
   */
  @Test
  void answersACommandReadInTheIterationThatEndsItsConnection() throws Exception {
    holdRequests();
    Socket other = connectAndPing();
    Socket ending = connect();
    send(ending, QUERY);
    awaitInFlight(1);
    scheduler.runOnLoop(() -> listener.closeConnectionsAfterReply());
    respondToHeldRequests(null);
    sendInOneIteration(other, ending);
    assertEquals(REJECTED.repeat(2), receive(ending, 2 * REJECTED.length()));
    for (int i = 0; i < 2; i++) scheduler.advance(10);
    assertEnds(ending);
  }

  /**
   * Guards against a connection whose reading was stopped, because its client reads too slowly,
   * while its next command was being read: the command was taken for the end of a client's
   * connection and discarded.
   */
  @Test
  void answersACommandReadInTheIterationThatStopsReading() throws Exception {
    holdRequests();
    Socket other = connectAndPing();
    Socket slow = connectWithSmallReceiveBuffer();
    send(slow, QUERY.repeat(HELD_REQUESTS));
    awaitInFlight(HELD_REQUESTS);
    fillSocket();
    respondToHeldRequests(VALUE);
    sendInOneIteration(other, slow);
    for (int i = 0; i < HELD_REQUESTS; i++) receiveReplyOrError(slow);
    assertEquals(REJECTED, receive(slow, REJECTED.length()));
  }

  /** Sets replies until the system takes no more; reading is not stopped yet. */
  private void fillSocket() throws Exception {
    for (int i = 0; memory.unsentReplies().reservedBytes() == 0; i++) {
      RequestContext request = arrived.get(i);
      scheduler.runOnLoop(() -> request.succeed(VALUE));
    }
  }

  private static void receiveReplyOrError(Socket socket) throws IOException {
    String type = receive(socket, 1);
    int restBytes = (type.equals("$") ? REPLY_BYTES : OUT_OF_MEMORY.length()) - 1;
    String rest = receive(socket, restBytes);
    assertEquals(restBytes, rest.length());
    if (!type.equals("$")) assertEquals(OUT_OF_MEMORY, type + rest);
  }
}
