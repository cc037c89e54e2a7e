package saltlatch.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the outcomes and history names of call results. */
class CallResultTest {
  /** Only results that prove that nothing was executed may have such an outcome. */
  @Test
  void onlyProvenResultsCountAsNeverExecuted() {
    StringBuilder results = new StringBuilder();
    for (CallResult result : CallResult.values()) {
      results.append(result)
          .append(result.outcome().neverExecuted() ? " never ran\n" : " may have run\n");
    }
    assertEquals("""
        ANSWERED may have run
        ERROR_REPLY may have run
        MALFORMED_REPLY may have run
        REPLY_OVER_MEMORY_LIMIT may have run
        BUSY_REPLY never ran
        CALL_REFUSED never ran
        CONNECT_FAILED never ran
        CONNECTION_LOST_UNWRITTEN never ran
        CONNECTION_LOST may have run
        TIMED_OUT_UNWRITTEN never ran
        TIMED_OUT may have run
        CANCELLED may have run
        WITHDRAWN never ran
        NO_CONNECTION_FREE never ran
        """, results.toString());
  }

  /** History files of earlier versions contain these names: a renamed constant keeps its name. */
  @Test
  void historyNamesAreStable() {
    StringBuilder names = new StringBuilder();
    for (CallResult result : CallResult.values()) names.append(result.historyName()).append(' ');
    assertEquals(
        "ANSWERED ERROR_ANSWER SPOILT_ANSWER ANSWER_OVER_LIMIT BUSY_ANSWER REFUSED_CALL CONNECT_FAILED "
            + "BROKE_UNWRITTEN BROKE_WRITTEN TIMED_OUT_UNWRITTEN TIMED_OUT OWN_CANCEL WITHDRAWN "
            + "NO_DESCRIPTOR ",
        names.toString());
  }
}
