package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import saltlatch.state.RequestContext;

/** Which connection ends in favour of a new one once all that clients may open are in use. */
class ConnectionReplacementTest extends ClientListenerHarness {
  private static final int QUERIES = 63; // one less than the pending replies at which reading stops

  /**
   * Guards against closing a connection that ends after its replies, in favour of a new one, before
   * its client has been sent them: the rest of the replies was lost.
   */
  @Test
  void sendsAllRepliesOfAConnectionThatEnds() throws Exception {
    holdRequests();
    Socket slow = connectWithSmallReceiveBuffer();
    send(slow, QUERY.repeat(QUERIES) + "no command\r\n");
    awaitInFlight(QUERIES);
    int longReplies = 0;
    while (longReplies < QUERIES && memory.unsentReplies().reservedBytes() == 0) {
      RequestContext request = arrived.get(longReplies++);
      scheduler.runOnLoop(() -> request.succeed(LONG_VALUE));
    }
    assertTrue(memory.unsentReplies().reservedBytes() > 0, "the system has taken all replies");
    for (RequestContext request : arrived.subList(longReplies, QUERIES))
      scheduler.runOnLoop(() -> request.reject(0));
    for (int i = 0; i < MAX_CONNECTIONS; i++) connectAndPing();
    for (int i = 0; i < longReplies; i++)
      assertEquals(LONG_REPLY_BYTES, receive(slow, LONG_REPLY_BYTES).length(), "reply " + i);
    String rest = receiveToEnd(slow);
    String expected = REJECTED.repeat(QUERIES - longReplies) + "-ERR Protocol error";
    assertTrue(rest.startsWith(expected), rest);
  }
}
