package saltlatch.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Turns of connections on a manual clock, of which each message uses a given time. */
class InputTurnsTest {
  private static final long TURN_TICKS = 5;
  private static final long ROUND_TICKS = 10;

  private final Vertx vertx = Vertx.vertx();
  private final ManualScheduler scheduler = new ManualScheduler(vertx.getOrCreateContext());
  private final InputTurns turns = new InputTurns(scheduler);
  private final List<String> processed = new ArrayList<>();

  /** A connection with a number of received messages of equal cost. */
  private final class Connection {
    final String name;
    final long costTicks;
    int messages;
    boolean moreUnread;
    boolean fails;
    double laterTicks; // of each message's work at the end of the iteration
    final InputTurns.Participant participant = turns.join(this::process);

    Connection(String name, long costTicks) {
      this.name = name;
      this.costTicks = costTicks;
    }

    void receive(int count) {
      messages += count;
      participant.bytesReceived(moreUnread);
    }

    private boolean process(InputTurns.Turn turn) {
      while (messages > 0) {
        messages--;
        processed.add(name);
        scheduler.spend(costTicks);
        turns.addCost(laterTicks);
        if (fails) throw new IllegalStateException("test");
        if (messages > 0 && !turn.hasTime()) return true;
      }
      return false;
    }
  }

  @AfterEach
  void stop() throws Exception {
    ManualScheduler.await(vertx.close());
  }

  private List<String> takeProcessed() {
    List<String> taken = List.copyOf(processed);
    processed.clear();
    return taken;
  }

  @Test
  void messagesWithinATurnAreProcessedAtOnce() throws Exception {
    Connection connection = new Connection("a", 1);
    scheduler.runOnLoop(() -> connection.receive(5));
    assertEquals(5, takeProcessed().size());
    assertFalse(connection.participant.isWaiting());
    assertEquals(0, turns.deferrals());
  }

  /** Guards against issue 62: messages of one connection keep all others from the event loop. */
  @Test
  void theRestOfALongInputWaitsForRounds() throws Exception {
    Connection connection = new Connection("a", TURN_TICKS);
    scheduler.runOnLoop(() -> connection.receive(3));
    assertEquals(List.of("a"), takeProcessed());
    assertTrue(connection.participant.isWaiting());
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of("a"), takeProcessed());
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of("a"), takeProcessed());
    assertFalse(connection.participant.isWaiting());
  }

  /** Guards against many connections that use a whole turn each in one iteration. */
  @Test
  void allTurnsOfAnIterationTogetherAreBounded() throws Exception {
    List<Connection> flood = new ArrayList<>();
    for (int i = 0; i < 50; i++) flood.add(new Connection("flood", TURN_TICKS));
    scheduler.runOnLoop(() -> flood.forEach(connection -> connection.receive(2)));
    assertEquals(2, takeProcessed().size());
    scheduler.advance(ROUND_TICKS);
    assertEquals(2, takeProcessed().size());
  }

  /** Guards against usual connections that wait behind all that send without end. */
  @Test
  void aConnectionWithoutATurnYetGoesFirst() throws Exception {
    List<Connection> flood = new ArrayList<>();
    for (int i = 0; i < 5; i++) flood.add(new Connection("flood", TURN_TICKS));
    for (Connection connection : flood) scheduler.runOnLoop(() -> connection.receive(9));
    takeProcessed();
    Connection usual = new Connection("usual", 1);
    scheduler.runOnLoop(() -> {
      scheduler.advanceOnLoop(ROUND_TICKS); // uses up the iteration
      assertEquals(List.of("flood", "flood"), takeProcessed());
      usual.receive(1);
    });
    assertEquals(List.of(), takeProcessed());
    scheduler.advance(ROUND_TICKS);
    assertEquals("usual", takeProcessed().get(0));
    scheduler.runOnLoop(() -> usual.receive(1));
    assertEquals(List.of("usual"), takeProcessed());
  }

  /** Guards against a connection that sends without end, and gets turns for its new bytes first. */
  @Test
  void aConnectionThatHasUsedItsTurnWaitsForTheOthers() throws Exception {
    Connection first = new Connection("first", TURN_TICKS);
    Connection second = new Connection("second", TURN_TICKS);
    first.moreUnread = true;
    scheduler.runOnLoop(() -> first.receive(1));
    scheduler.runOnLoop(() -> second.receive(2));
    scheduler.runOnLoop(() -> first.receive(1));
    assertEquals(List.of("first", "second"), takeProcessed());
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of("second", "first"), takeProcessed());
  }

  /** Guards against a connection that gets an extra turn with every read. */
  @Test
  void aWaitingConnectionGetsNoTurnForFurtherBytes() throws Exception {
    Connection connection = new Connection("a", TURN_TICKS);
    scheduler.runOnLoop(() -> connection.receive(2));
    scheduler.runOnLoop(() -> connection.receive(1));
    assertEquals(1, takeProcessed().size());
  }

  /** Guards against many requests in one iteration whose work is done at its end. */
  @Test
  void laterWorkOfAMessageCounts() throws Exception {
    List<Connection> flood = new ArrayList<>();
    for (int i = 0; i < 9; i++) flood.add(new Connection("flood", 0));
    for (Connection connection : flood) connection.laterTicks = 2.5;
    scheduler.runOnLoop(() -> flood.forEach(connection -> connection.receive(9)));
    assertEquals(4, takeProcessed().size());
  }

  /** Guards against a message whose failure keeps all others waiting. */
  @Test
  void aFailureStopsNeitherItsConnectionNorOthers() throws Exception {
    Connection connection = new Connection("a", TURN_TICKS);
    scheduler.runOnLoop(() -> connection.receive(3));
    connection.fails = true;
    assertThrows(ExecutionException.class, () -> scheduler.advance(ROUND_TICKS));
    connection.fails = false;
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of("a", "a", "a"), takeProcessed());
  }

  @Test
  void aClosedConnectionGetsNoTurn() throws Exception {
    Connection connection = new Connection("a", TURN_TICKS);
    scheduler.runOnLoop(() -> {
      connection.receive(2);
      connection.participant.close();
    });
    takeProcessed();
    scheduler.advance(ROUND_TICKS);
    assertEquals(List.of(), takeProcessed());
    assertFalse(connection.participant.isWaiting());
  }
}
