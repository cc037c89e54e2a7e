package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.lab.check.HistoryEvent;
import saltlatch.lab.load.Outcome;
import saltlatch.lab.load.RunResult;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.run.Lab;
import saltlatch.lab.scenario.Scenario;

/** Several processes of the built jar, with faults on them and between them. */
class ProcessesIT {
  private static final String COMMON = """
      name = "it"
      seed = 11
      seconds = 14
      nodes = 4
      [front]
      notice_s = 2
      [servers]
      count = 8
      [peers]
      intake = 60
      [load]
      rate = 60
      customers = 12
      zipf = 0.5
      submit_share = 0.3
      deadline_ms = 2000
      [plan]
      rate = 20
      burst = 80
      aim_ms = 1000
      deadline_ms = 2000
      """;

  @TempDir Path dir;

  private List<HistoryEvent> history;

  private RunResult run(String faults) throws Exception {
    RunResult r = Lab.run(Scenario.parse(COMMON + faults), 0, Processes.Program
        .of(Path.of("deploy/balancer.toml"), Path.of("target/saltlatch.jar"), dir));
    history = HistoryEvent.readAll(dir.resolve("history"));
    assertTrue(r.passed(), r.checks() + " " + r.violations());
    // Faults take one node of four for half the run, 0.125 of the tries, if the front did not
    // notice: 0.7 leaves as much.
    assertTrue(r.outcomes().get(Outcome.PASSED) > 0.7 * r.tries(), r.outcomes().toString());
    return r;
  }

  private List<HistoryEvent> of(String name, String kind) {
    return history.stream().filter(l -> l.name().equals(name) && l.kind().equals(kind)).toList();
  }

  /**
   * Stopped for 8 s with reqs queued at its sockets, then continued: it knows for how long it was
   * away, and sends out nothing whose client's time was over when it was read.
   */
  @Test
  void pausedNodeSendsOutNothingThatNobodyWaitsFor() throws Exception {
    run("[[processes.faults]]\nkind = \"pause\"\nat_s = 2\nfor_s = 8\nnodes = \"n1\"\n");
    List<HistoryEvent> away = of("n1", "away");
    assertTrue(!away.isEmpty(), "n1 does not know that it was away");
    double longest = away.stream().mapToDouble(l -> l.number("for_ms")).max().orElse(0);
    // 8 s, a round and a busy machine
    assertTrue(longest > 7_800 && longest < 9_500, "away for " + longest + " ms");
    Map<String, HistoryEvent> late = new HashMap<>();
    for (HistoryEvent l : of("n1", "arrived"))
      if (l.number("age_ms") >= l.number("wait_ms")) late.put(l.get("id"), l);
    // The front deals it a quarter of 60 reqs/s for the 2 s until it notices; half of those is far
    // below that.
    assertTrue(late.size() >= 15,
        late.size() + " reqs were read too late: the test did not cause its failure");
    for (HistoryEvent l : of("n1", "dispatched")) {
      assertTrue(!late.containsKey(l.get("id")),
          "sent out too late: " + late.get(l.get("id")) + " " + l);
    }
  }

  /**
   * Killed, and back at once under the same name with an older plan, while its old connections are
   * open elsewhere.
   */
  @Test
  void killedAndBackAtOnce() throws Exception {
    run("""
        [[processes.faults]]
        kind = "kill"
        at_s = 4
        nodes = "n2"
        restart = true
        old_config = true
        [old_plan]
        rate = 19
        burst = 70
        aim_ms = 1000
        deadline_ms = 2000
        """);
    assertTrue(Files.readString(dir.resolve("n2.json")).contains("\"refill\":19.0"),
        "not the older configuration");
    List<HistoryEvent> started = of("n2", "started");
    assertEquals(2, started.size());
    assertTrue(!started.get(0).incarnation().equals(started.get(1).incarnation()));
    double took = (of("n2", "ready").get(1).monoNs() - of("director", "fault").get(0).monoNs())
        / 1e9;
    // 0.5 s by itself; others use the cores meanwhile
    assertTrue(took < 6, "ready again after " + took + " s");
    double served = of("n2", "answered").stream().filter(
        l -> l.incarnation().equals(started.get(1).incarnation()) && l.get("how").equals("passed"))
        .count();
    assertTrue(served > 20, "the new process passed " + served);
  }

  /**
   * A one-way cut between nodes with the counter silent, and a link to the counter that flaps
   * faster than its time-out.
   */
  @Test
  void oneWayCutAndFlappingLink() throws Exception {
    RunResult r = run("""
        [[counter.faults]]
        kind = "silent"
        at_s = 3
        for_s = 5
        [[links.faults]]
        kind = "cut"
        at_s = 0
        from = "n1"
        to = "n2"
        one_way = true
        [[links.faults]]
        kind = "flap"
        at_s = 8
        for_s = 4
        period_ms = 120
        from = "n3"
        to = "counter"
        """);
    long told = r.nodeCounters().get(1).get("peers_told");
    assertTrue(told > 0, "n1 told nothing while the counter was silent");
    assertTrue(r.emulator().get("peer_datagrams_lost") > 0, "none was cut off");
    assertTrue(r.relayDelayUs().get("chunks") > 100 && r.relayDelayUs().get("p50") < 2_000,
        r.relayDelayUs().toString());
    for (int i = 0; i < 4; i++) assertEquals(0L, r.nodeCounters().get(i).get("exceptions"));
  }
}
