package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import saltlatch.lab.plan.AppServerModel;
import saltlatch.lab.plan.GroundTruth;
import saltlatch.lab.plan.OpenLoopSchedule;
import saltlatch.lab.scenario.Scenario;

/**
 * Tests the parts of the laboratory that do no I/O: the offered schedule, the decisions of an
 * emulated app server, and the record of what the app servers ran.
 */
class PlanTest {
  private static final String SCENARIO = """
      name = "t"
      seed = 11
      seconds = 20
      nodes = 2
      [servers]
      count = 2
      median_ms = 4
      p99_ms = 20
      concurrency = 10
      [[servers.faults]]
      kind = "cold_start"
      at_s = 1
      ramp_s = 4
      from = 0.2
      first = 1
      count = 1
      [[servers.faults]]
      kind = "slow"
      at_s = 8
      for_s = 1
      extra_ms = 100
      [load]
      rate = 500
      customers = 30
      zipf = 1.2
      submit_share = 0.3
      give_up_share = 0.1
      [[load.bursts]]
      at_s = 10
      for_s = 5
      factor = 3
      """;

  @Test
  void sameSeedGivesSameSchedule() throws IOException {
    List<OpenLoopSchedule.Arrival> first = OpenLoopSchedule.of(Scenario.parse(SCENARIO));
    List<OpenLoopSchedule.Arrival> second = OpenLoopSchedule.of(Scenario.parse(SCENARIO));
    List<OpenLoopSchedule.Arrival> otherSeed = OpenLoopSchedule
        .of(Scenario.parse(SCENARIO.replace("seed = 11", "seed = 12")));
    assertEquals(OpenLoopSchedule.digest(first), OpenLoopSchedule.digest(second));
    assertNotEquals(OpenLoopSchedule.digest(first), OpenLoopSchedule.digest(otherSeed));
  }

  @Test
  void burstRaisesOfferedRate() throws IOException {
    List<OpenLoopSchedule.Arrival> schedule = OpenLoopSchedule.of(Scenario.parse(SCENARIO));
    // 5 s at 500 requests per second
    long beforeBurst = schedule.stream().filter(arrival -> arrival.atUs() < 5_000_000).count();
    // 5 s at 1500 requests per second
    long inBurst = schedule.stream()
        .filter(arrival -> arrival.atUs() >= 10_000_000 && arrival.atUs() < 15_000_000).count();
    assertTrue(Math.abs(beforeBurst - 2500) < 250,
        "expected about 2500 arrivals before the burst, found " + beforeBurst);
    assertTrue(Math.abs(inBurst - 7500) < 450,
        "expected about 7500 arrivals in the burst, found " + inBurst);
    for (int i = 1; i < schedule.size(); i++)
      assertTrue(schedule.get(i).atUs() >= schedule.get(i - 1).atUs());
  }

  @Test
  void unknownKeysAndFaultKindsAreRejected() {
    assertThrows(IOException.class, () -> Scenario.parse(SCENARIO + "\nbogus = 1\n"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse(SCENARIO.replace("\"slow\"", "\"slowly\"")));
  }

  /**
   * An app server that receives twenty requests at once during its cold start becomes overloaded,
   * fails all requests for a while, and then serves at the capacity of its ramp.
   */
  @Test
  void overloadedColdServerFailsThenServes() throws IOException {
    Scenario scenario = Scenario.parse(SCENARIO);
    AppServerModel server = new AppServerModel(1, scenario.servers(), scenario.seed());
    StringBuilder trace = new StringBuilder();
    int inProgress = 0;
    for (double ms = 1_000; ms <= 9_000; ms += 500) {
      // One request from each of twenty nodes at once, then fewer because the nodes back off.
      int requests = ms < 2_000 ? 1 : ms < 3_000 ? 20 : 2;
      StringBuilder verdicts = new StringBuilder();
      for (int i = 0; i < requests; i++) {
        AppServerModel.Decision decision = server.decide(ms, inProgress + i);
        verdicts.append(decision.verdict().name().charAt(0));
        if (i == 0 && decision.verdict() == AppServerModel.Verdict.SERVE)
          verdicts.append(String.format(Locale.ROOT, "(%.0fms)", decision.latencyMs()));
      }
      trace.append(
          String.format(Locale.ROOT, "t=%5.0f cap=%5.2f %s%n", ms, server.capacity(ms), verdicts));
    }
    assertEquals(readTrace("box-cold.txt"), trace.toString());
  }

  @Test
  void groundTruthDetectsDoubleChargesAndRepeats() {
    GroundTruth truth = new GroundTruth();
    truth.recordAttempt("a", 1, false, 2);
    truth.recordServed("a", 100);
    truth.recordAttempt("a", 1, false, 2); // a hedged copy of a retriable request that also ran
    truth.recordServed("a", 120);
    assertTrue(!truth.recordAttempt("b", 1, true, 1));
    // The first attempt was answered -BUSY, so it never ran.
    assertTrue(!truth.recordAttempt("b", 1, true, 1));
    truth.recordPossibleRun("b");
    assertTrue(truth.recordAttempt("b", 1, true, 1)); // sent again although it may have run
    truth.recordServed("b", 1_500);
    GroundTruth.Totals totals = truth.totals();
    assertEquals(1, totals.doubleCharges());
    assertEquals(1, totals.repeatedNonRetriable());
    assertEquals(3, totals.unitsCharged());
    // Customer 1 was charged 2 units in second 0 and 1 unit in second 1: within a burst of 2 plus 1
    // unit per second, but 1 unit more than 1 + 2 * 0.5.
    assertEquals(0.0, truth.overshoot(1, 2).get(1L));
    assertEquals(1.0, truth.overshoot(0.5, 1).get(1L));
  }

  private static String readTrace(String name) throws IOException {
    try (InputStream in = PlanTest.class.getResourceAsStream("/traces/" + name)) {
      return in == null ? "(trace file " + name + " not found)"
          : new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
