package saltlatch.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How calls to partners end. */
class CallResultTest {
  /** Only results that prove it may say that nothing was executed. */
  @Test
  void resultsThatProveThatNothingWasExecuted() {
    StringBuilder results = new StringBuilder();
    for (CallResult result : CallResult.values()) {
      results.append(result)
          .append(result.outcome().neverExecuted() ? " never ran\n" : " may have run\n");
    }
    assertEquals("""
        ANSWERED may have run
        ERROR_ANSWER may have run
        SPOILT_ANSWER may have run
        BUSY_ANSWER never ran
        REFUSED_CALL never ran
        CONNECT_FAILED never ran
        BROKE_UNWRITTEN never ran
        BROKE_WRITTEN may have run
        TIMED_OUT_UNWRITTEN never ran
        TIMED_OUT may have run
        OWN_CANCEL may have run
        WITHDRAWN never ran
        NO_DESCRIPTOR never ran
        """, results.toString());
  }
}
