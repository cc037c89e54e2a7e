package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.soak.ClosingRun;
import saltlatch.lab.soak.ClosingRun.Disturbance;
import saltlatch.lab.soak.ClosingRun.Plan;
import saltlatch.lab.soak.RequestForm;
import saltlatch.lab.soak.RequestVerdict;

/**
 * Guards against the incident of issue 67: a request that crossed the close of its connection at a
 * planned restart got a clean end and no answer, and its reset came 200 ms later or never.
 */
class ClosingIT {
  private static final int CLIENTS = 150;
  private static final int LINK_CLIENTS = 60; // each needs two threads of the link
  private static final long SEED = 1;

  @TempDir Path directory;

  private void assertNoneLost(Disturbance disturbance, RequestForm form) throws Exception {
    assertNoneLost(disturbance, form, CLIENTS);
  }

  private void assertNoneLost(Disturbance disturbance, RequestForm form, int clients)
      throws Exception {
    Processes.Program program = Processes.Program.of(Path.of("deploy/balancer.toml"),
        Path.of("target/saltlatch.jar"), directory);
    ClosingRun.Result result = ClosingRun.run(program, Plan.of(disturbance, clients, form), SEED);
    System.out.println(disturbance + ", " + form + ": " + result);
    assertEquals(List.of(), result.requests().losses());
    assertTrue(result.requests().count(RequestVerdict.ANSWERED) > 0, result.toString());
    assertNotEquals(ClosingRun.Result.KILLED, result.endedMs(), result.toString());
  }

  @Test
  void requestsThatCrossTheCloseAreAnsweredOrReset() throws Exception {
    assertNoneLost(Disturbance.NONE, RequestForm.WHOLE);
  }

  @Test
  void soAreThoseOfANodeOnABusyCore() throws Exception {
    assertNoneLost(Disturbance.BUSY_CORE, RequestForm.WHOLE);
  }

  @Test
  void soAreThoseOfANodeThatStallsBeforeTheClose() throws Exception {
    assertNoneLost(Disturbance.STALL, RequestForm.WHOLE);
  }

  @Test
  void soAreThoseInPieces() throws Exception {
    assertNoneLost(Disturbance.NONE, RequestForm.PIECES);
  }

  @Test
  void soArePipelinedOnes() throws Exception {
    assertNoneLost(Disturbance.NONE, RequestForm.PIPELINED);
  }

  @Test
  void soAreThoseDuringSignalsInSeries() throws Exception {
    assertNoneLost(Disturbance.SIGNALS, RequestForm.WHOLE);
  }

  @Test
  void soAreThoseOnADelayedLink() throws Exception {
    assertNoneLost(Disturbance.DELAYED_LINK, RequestForm.WHOLE, LINK_CLIENTS);
  }

  @Test
  void soAreThoseBesideACrowd() throws Exception {
    assertNoneLost(Disturbance.CROWD, RequestForm.WHOLE);
  }
}
