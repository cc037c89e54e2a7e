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

/** The lab's decisions without I/O: the offered schedule, a stand-in box's verdicts, the ledger. */
class PlanTest {
  static final String BASE = """
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
  void oneSeedOneSchedule() throws IOException {
    List<OpenLoopSchedule.Arrival> a = OpenLoopSchedule.of(Scenario.parse(BASE));
    List<OpenLoopSchedule.Arrival> b = OpenLoopSchedule.of(Scenario.parse(BASE));
    assertEquals(OpenLoopSchedule.digest(a), OpenLoopSchedule.digest(b));
    assertNotEquals(OpenLoopSchedule.digest(a), OpenLoopSchedule
        .digest(OpenLoopSchedule.of(Scenario.parse(BASE.replace("seed = 11", "seed = 12")))));
  }

  @Test
  void burstsRaiseTheOfferedRate() throws IOException {
    List<OpenLoopSchedule.Arrival> a = OpenLoopSchedule.of(Scenario.parse(BASE));
    long calm = a.stream().filter(x -> x.atUs() < 5_000_000).count(); // 5 s at 500/s
    // 5 s at 1500/s
    long burst = a.stream().filter(x -> x.atUs() >= 10_000_000 && x.atUs() < 15_000_000).count();
    assertTrue(Math.abs(calm - 2500) < 250, "calm " + calm);
    assertTrue(Math.abs(burst - 7500) < 450, "burst " + burst);
    for (int i = 1; i < a.size(); i++) assertTrue(a.get(i).atUs() >= a.get(i - 1).atUs());
  }

  @Test
  void badScenariosAreRefused() {
    assertThrows(IOException.class, () -> Scenario.parse(BASE + "\nbogus = 1\n"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse(BASE.replace("\"slow\"", "\"slowly\"")));
  }

  /**
   * A cold box that twenty nodes pile onto tips over, fails for a while, then serves at its ramped
   * capacity.
   */
  @Test
  void coldBoxTrace() throws IOException {
    Scenario s = Scenario.parse(BASE);
    AppServerModel box = new AppServerModel(1, s.servers(), s.seed());
    StringBuilder trace = new StringBuilder();
    int inProgress = 0;
    for (double ms = 1_000; ms <= 9_000; ms += 500) {
      int load = ms < 2_000 ? 1 : ms < 3_000 ? 20 : 2; // twenty nodes at once, then they back off
      StringBuilder verdicts = new StringBuilder();
      for (int k = 0; k < load; k++) {
        AppServerModel.Decision t = box.decide(ms, inProgress + k);
        verdicts.append(t.verdict().name().charAt(0));
        if (k == 0 && t.verdict() == AppServerModel.Verdict.SERVE)
          verdicts.append(String.format(Locale.ROOT, "(%.0fms)", t.latencyMs()));
      }
      trace.append(
          String.format(Locale.ROOT, "t=%5.0f cap=%5.2f %s%n", ms, box.capacity(ms), verdicts));
    }
    assertEquals(kept("box-cold.txt"), trace.toString());
  }

  @Test
  void ledgerFindsDoubleChargesAndRepeats() {
    GroundTruth t = new GroundTruth();
    t.recordAttempt("a", 1, false, 2);
    t.recordServed("a", 100);
    t.recordAttempt("a", 1, false, 2); // a hedged copy of a replayable req that also ran
    t.recordServed("a", 120);
    assertTrue(!t.recordAttempt("b", 1, true, 1));
    assertTrue(!t.recordAttempt("b", 1, true, 1)); // the first was turned away: it never ran
    t.recordPossibleRun("b");
    assertTrue(t.recordAttempt("b", 1, true, 1)); // sent again after it may have run
    t.recordServed("b", 1_500);
    GroundTruth.Totals totals = t.totals();
    assertEquals(1, totals.doubleCharges());
    assertEquals(1, totals.repeatedNonReplayable());
    assertEquals(3, totals.unitsCharged());
    assertEquals(0.0, t.overshoot(1, 2).get(1L)); // 2 units in s0, 1 in s1: inside burst 2 + 1/s
    assertEquals(1.0, t.overshoot(0.5, 1).get(1L)); // by s1: 3 units against 1 + 2 * 0.5
  }

  static String kept(String name) throws IOException {
    try (InputStream in = PlanTest.class.getResourceAsStream("/traces/" + name)) {
      return in == null ? "(no kept trace " + name + ")"
          : new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
