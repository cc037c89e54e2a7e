package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.state.RequestContext;
import saltlatch.wire.resp.RespText;

/** Limits the memory that all clients' connections together use for messages. */
class ClientMemoryTest extends ClientListenerHarness {
  private static final String LONG_SUBMIT = RespText.command("SVC.SUBMIT", "0000000000000007", "11",
      "c=read,t=plan,d=900", "b".repeat(64 << 10));
  private static final int MISSING_BYTES = 2;
  private static final String HELD_ID = "12";
  private static final String OUT_OF_MEMORY = "-ERR out of memory\r\n";

  private Socket connectAndSendPart(String command) throws Exception {
    Socket socket = connect();
    send(socket, command.substring(0, command.length() - MISSING_BYTES));
    return socket;
  }

  private void awaitReserved(long minBytes) throws Exception {
    scheduler.awaitOnLoop(() -> memory.incompleteCommands().reservedBytes() >= minBytes);
  }

  /**
   * Guards against clients that stop in the middle of long commands and stay: their buffers filled
   * the heap, and the node stood still for seconds. The memory for incomplete commands holds one;
   * another one is read to its end, rejected, and its connection still works.
   */
  @Test
  void rejectsALongCommandIfTheMemoryForIncompleteCommandsIsUsed() throws Exception {
    respondWith(client -> client.fail());
    Socket stopped = connectAndSendPart(LONG_SUBMIT);
    awaitReserved(60 << 10);
    Socket other = connectAndSendPart(LONG_SUBMIT);
    send(other, LONG_SUBMIT.substring(LONG_SUBMIT.length() - MISSING_BYTES) + PING);
    assertEquals("-BUSY\r\n+PONG\r\n", receive(other, 14));
    assertTrue(memory.incompleteCommands().reservedBytes() <= INCOMPLETE_COMMAND_BYTES);
    scheduler.advance(20_000);
    assertEquals("-ERR command incomplete\r\n", receive(stopped, 25));
    assertEnds(stopped);
    scheduler.runOnLoop(() -> assertEquals(0, memory.incompleteCommands().reservedBytes()));
    send(other, LONG_SUBMIT);
    assertEquals("-ERR aborted\r\n", receive(other, 14));
  }

  /** A short command needs no reservation, so it passes even if no memory is left. */
  @Test
  void acceptsShortCommandsIfTheMemoryForIncompleteCommandsIsUsed() throws Exception {
    respondWith(client -> client.fail());
    connectAndSendPart(LONG_SUBMIT);
    awaitReserved(60 << 10);
    Socket other = connectAndSendPart(QUERY);
    send(other, QUERY.substring(QUERY.length() - MISSING_BYTES));
    assertEquals("-ERR aborted\r\n", receive(other, 14));
  }

  /** A client that is skipped and stops gets its error after 2 s, like any other. */
  @Test
  void skippedCommandTimesOut() throws Exception {
    connectAndSendPart(LONG_SUBMIT);
    awaitReserved(60 << 10);
    Socket skipped = connectAndSendPart(PING + LONG_SUBMIT);
    assertEquals("+PONG\r\n", receive(skipped, 7));
    scheduler.advance(20_000);
    assertEquals("-ERR command incomplete\r\n", receiveToEnd(skipped));
  }

  /**
   * Guards against long values that wait behind a slow reply of their connection and fill the heap.
   * The ones for which there is no memory become errors; other connections keep theirs.
   */
  @Test
  void failsLongRepliesIfTheMemoryForUnsentRepliesIsUsed() throws Exception {
    holdRequests();
    Socket socket = connect();
    send(socket, QUERY.repeat(10));
    awaitInFlight(10);
    scheduler.runOnLoop(() -> {
      for (int i = 1; i < 10; i++) arrived.get(i).succeed(LONG_VALUE);
    });
    respondWith(client -> client.succeed(new byte[1_000]));
    Socket other = connect();
    send(other, QUERY);
    assertEquals(1_009, receive(other, 1_009).length());
    scheduler.runOnLoop(() -> arrived.get(0).fail());
    assertEquals("-ERR aborted\r\n", receive(socket, 14));
    for (int i = 0; i < 7; i++)
      assertEquals("$65536\r\n", receive(socket, LONG_REPLY_BYTES).substring(0, 8));
    assertEquals(OUT_OF_MEMORY.repeat(2), receive(socket, 2 * OUT_OF_MEMORY.length()));
    scheduler.runOnLoop(() -> assertEquals(0, memory.unsentReplies().reservedBytes()));
  }

  /**
   * Guards against a client that reads none of its replies: they would hold the memory for unsent
   * replies for as long as it stays. Once other replies need it, its connection is closed.
   */
  @Test
  void closesAClientThatDoesNotReadIfMemoryIsNeeded() throws Exception {
    List<RequestContext> held = new ArrayList<>();
    onRequest = (request, client) -> {
      RequestContext context = requests.register(request, client);
      if (request.id().equals(HELD_ID)) held.add(context);
      else context.succeed(LONG_VALUE);
      requests.releaseIfComplete(context);
      return context;
    };
    Socket notReading = connect();
    Thread writer = new Thread(() -> sendUntilBroken(notReading));
    writer.start();
    Socket other = connect();
    while (!metrics.infoText().contains("clients_not_reading=1\n")) {
      requestMoreThanTheMemoryHolds(other, held);
      scheduler.advance(2_500);
    }
    writer.join();
    send(other, QUERY);
    assertEquals("$65536\r\n", receive(other, LONG_REPLY_BYTES).substring(0, 8));
  }

  /** Has nine long replies of one client set before the first one is written, and reads all. */
  private void requestMoreThanTheMemoryHolds(Socket client, List<RequestContext> held)
      throws Exception {
    send(client, QUERY.replace("$2\r\n10", "$2\r\n" + HELD_ID).repeat(9));
    scheduler.awaitOnLoop(() -> held.size() == 9);
    scheduler.runOnLoop(() -> {
      for (int i = held.size() - 1; i >= 0; i--) held.get(i).succeed(LONG_VALUE);
      held.forEach(requests::releaseIfComplete);
      held.clear();
    });
    for (int i = 0; i < 9; i++) {
      if (receive(client, 1).equals("$")) receive(client, LONG_REPLY_BYTES - 1);
      else receive(client, OUT_OF_MEMORY.length() - 1);
    }
  }

  private static void sendUntilBroken(Socket socket) {
    try {
      while (true) send(socket, QUERY.repeat(100));
    } catch (IOException e) {
      // the listener has closed the connection
    }
  }
}
