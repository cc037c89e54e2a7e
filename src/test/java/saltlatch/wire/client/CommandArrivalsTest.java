package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests whose time begins when they are read, or when the newest bytes of their
 * connection came: their clients would get answers after their time.
 */
class CommandArrivalsTest {
  private final CommandArrivals arrivals = new CommandArrivals();

  @Test
  void theLastCommandOfAReadArrivedWithTheNewestByte() {
    arrivals.received(30, 450, 500, 500, true);
    assertEquals(450, arrivals.arrivalTicks(30));
  }

  @Test
  void earlierCommandsOfAnAttentiveLoopArrivedThenToo() {
    arrivals.received(30, 450, 500, 500, true);
    assertEquals(450, arrivals.arrivalTicks(10));
  }

  @Test
  void afterAStallEarlierCommandsCountFromItsBegin() {
    arrivals.received(30, 1_900, 300, 2_000, true);
    assertEquals(300, arrivals.arrivalTicks(10));
    assertEquals(1_900, arrivals.arrivalTicks(30));
  }

  /** Guards against connections that are accepted after a stall in which their requests came. */
  @Test
  void theFirstBytesMayHaveArrivedBeforeTheAccept() {
    arrivals.received(30, 500, 300, 2_000, true);
    assertEquals(500, arrivals.arrivalTicks(30));
  }

  @Test
  void noByteArrivedBeforeTheReadThatLeftNoneUnread() {
    arrivals.received(30, 800, 900, 900, true);
    arrivals.received(30, 1_900, 300, 2_000, true);
    assertEquals(900, arrivals.arrivalTicks(50));
  }

  @Test
  void bytesThatWaitedForATurnCountFromTheStopOfReading() {
    arrivals.received(30, 150, 200, 200, false);
    arrivals.readingStopped(200);
    arrivals.received(30, 690, 700, 700, false);
    arrivals.readingStopped(700);
    arrivals.received(30, 890, 900, 900, true);
    assertEquals(150, arrivals.arrivalTicks(30));
    assertEquals(200, arrivals.arrivalTicks(50));
    assertEquals(200, arrivals.arrivalTicks(80));
    arrivals.received(30, 1_000, 1_000, 1_000, true);
    assertEquals(1_000, arrivals.arrivalTicks(110));
  }

  @Test
  void theWaitForEarlierAnswersDoesNotCount() {
    arrivals.received(30, 200, 200, 200, false);
    arrivals.readingStopped(200);
    arrivals.waitedForAnswers(900);
    arrivals.received(30, 300, 1_000, 1_000, true);
    assertEquals(900, arrivals.arrivalTicks(60));
  }

  /** Guards against records that grow while a client sends other commands than requests. */
  @Test
  void nothingIsRecordedOfWhatWasProcessed() {
    arrivals.received(30, 450, 500, 500, true);
    arrivals.allProcessed();
    assertEquals(0, arrivals.recordedReads());
    arrivals.received(30, 550, 600, 600, true);
    assertEquals(550, arrivals.arrivalTicks(60));
  }
}
