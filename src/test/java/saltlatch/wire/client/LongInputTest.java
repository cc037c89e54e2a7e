package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import saltlatch.state.RequestContext;

/** One client sends more commands at once than fit into its turn on the event loop. */
class LongInputTest extends ClientListenerHarness {
  private static final long COST_TICKS = 5; // of each request: a whole turn
  private static final long ROUND_TICKS = 10;
  private static final int COMMANDS = 50;
  private static final int COMMANDS_OF_TWO_READS = 300;
  private static final int PENDING_LIMIT = 64; // at which reading stops

  private final List<Long> ages = new ArrayList<>();

  @BeforeEach
  void rejectSlowly() {
    onRequest = (request, client) -> {
      ages.add(client.readDelayTicks());
      scheduler.spend(COST_TICKS);
      client.reject(0);
      return null;
    };
  }

  private Socket sendCommands() throws Exception {
    Socket flooding = connectAndPing();
    send(flooding, QUERY.repeat(COMMANDS));
    assertEquals(REJECTED, receive(flooding, REJECTED.length()));
    return flooding;
  }

  /** Guards against issue 62: others wait until all commands of one connection are processed. */
  @Test
  void otherClientsAreAnsweredBetweenTurns() throws Exception {
    Socket flooding = sendCommands();
    ping(connect());
    assertEquals(1, ages.size());
    scheduler.advance(ROUND_TICKS);
    assertEquals(REJECTED, receive(flooding, REJECTED.length()));
    assertEquals(2, ages.size());
    ping(connect());
  }

  @Test
  void theWaitForATurnCounts() throws Exception {
    sendCommands();
    scheduler.advance(ROUND_TICKS);
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of(0L, COST_TICKS + ROUND_TICKS, 2 * (COST_TICKS + ROUND_TICKS)),
        ages.stream().map(age -> age / COST_TICKS * COST_TICKS).toList());
  }

  /** Guards against picture (c) of issue 62: requests are sent on after their client has left. */
  @Test
  void commandsOfAClientThatHasLeftAreDropped() throws Exception {
    Socket flooding = sendCommands();
    flooding.close();
    scheduler.awaitOnLoop(() -> listener.openConnections() == 0);
    for (int i = 0; i < COMMANDS; i++) scheduler.advance(ROUND_TICKS);
    assertEquals(1, ages.size());
  }

  /**
   * Guards against commands that are refused because others of their connection took long: the wait
   * for earlier answers does not count.
   */
  @Test
  void theWaitForEarlierAnswersDoesNotCount() throws Exception {
    holdRequests();
    Socket client = connectAndPing();
    send(client, QUERY.repeat(COMMANDS_OF_TWO_READS));
    scheduler.awaitOnLoop(() -> requests.size() >= PENDING_LIMIT);
    rejectSlowly();
    scheduler.advance(20_000);
    List<RequestContext> held = List.copyOf(arrived);
    scheduler.runOnLoop(() -> held.forEach(request -> request.reject(0)));
    int replies = held.size() + 1;
    assertEquals(REJECTED.repeat(replies), receive(client, replies * REJECTED.length()));
    assertEquals(0, ages.get(0));
  }

  /** Guards against commands that were read but get no reply, since their connection closes. */
  @Test
  void allCommandsAreAnsweredAtShutdown() throws Exception {
    Socket flooding = sendCommands();
    scheduler.runOnLoop(listener::closeConnectionsAfterReply);
    scheduler.runOnLoop(listener::failPendingAndRejectNew);
    for (int i = 1; i < COMMANDS; i++) {
      scheduler.runOnLoop(listener::closeIdleConnections);
      scheduler.advance(ROUND_TICKS);
    }
    int restBytes = (COMMANDS - 1) * REJECTED.length();
    assertEquals(REJECTED.repeat(COMMANDS - 1), receive(flooding, restBytes));
  }
}
