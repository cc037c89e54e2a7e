package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltlatch.wire.client.CloseDecision.Delivery;
import saltlatch.wire.client.CloseDecision.State;

/** The decision on a close for each reason, in each state that matters. */
class CloseDecisionTest {
  private static final State IDLE = state(0, false, false, Delivery.DELIVERED);

  private static State state(int owed, boolean commandsWait, boolean part, Delivery delivery) {
    return new State(owed, commandsWait, part, false, delivery, true, false);
  }

  private static String decisions(State state) {
    StringBuilder text = new StringBuilder();
    for (CloseReason reason : CloseReason.values())
      text.append(CloseDecision.of(reason, state).name().charAt(0));
    return text.toString();
  }

  /** In the order of {@link CloseReason}; K: keep, C: close, R: reset. */
  @Test
  void nothingThatIsOwedIsLostByACloseThatIsNotForced() {
    assertEquals("CCCCCCCCC", decisions(IDLE));
    assertEquals("KKRKKKKKR", decisions(state(1, false, false, Delivery.DELIVERED)));
    assertEquals("KKRKKKKKR", decisions(state(0, true, false, Delivery.DELIVERED)));
    assertEquals("KKRKKKKKR", decisions(state(0, false, false, Delivery.WRITING)));
    assertEquals("KKCKKKKKC", decisions(state(0, false, false, Delivery.ON_THEIR_WAY)));
    assertEquals("KRRRCCRRR", decisions(state(0, false, true, Delivery.DELIVERED)));
  }

  @Test
  void aResetTellsOfInputThatWasDroppedBehindAnError() {
    State dropped = new State(0, false, true, true, Delivery.DELIVERED, true, false);
    assertEquals(CloseDecision.RESET, CloseDecision.of(CloseReason.INCOMPLETE_COMMAND, dropped));
  }

  @Test
  void aClientThatDoesNotReadIsReplacedWithAReset() {
    State notReading = new State(0, false, false, false, Delivery.WRITING, false, false);
    assertEquals(CloseDecision.RESET, CloseDecision.of(CloseReason.REPLACED, notReading));
  }
}
