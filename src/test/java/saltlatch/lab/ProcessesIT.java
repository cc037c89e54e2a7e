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

/** Runs several node processes of the built jar, with faults on processes and on links. */
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
    RunResult result = Lab.run(Scenario.parse(COMMON + faults), 0, Processes.Program
        .of(Path.of("deploy/balancer.toml"), Path.of("target/saltlatch.jar"), dir));
    history = HistoryEvent.readAll(dir.resolve("history"));
    assertTrue(result.passed(), result.checks() + " " + result.violations());
    // The faults remove one of four nodes for half of the run. If the load balancer did not detect
    // that, 0.125 of the attempts would fail; 0.7 leaves about as much again as a margin.
    assertTrue(result.outcomes().get(Outcome.PASSED) > 0.7 * result.tries(),
        result.outcomes().toString());
    return result;
  }

  private List<HistoryEvent> events(String name, String kind) {
    return history.stream().filter(event -> event.name().equals(name) && event.kind().equals(kind))
        .toList();
  }

  /**
   * A node is stopped for 8 s while requests queue at its sockets, and then continued. It must
   * measure how long it was stopped, and must not start an attempt of a request whose
   * client deadline had expired when the request was read.
   */
  @Test
  void pausedNodeStartsNoAttemptOfExpiredRequests() throws Exception {
    run("[[processes.faults]]\nkind = \"pause\"\nat_s = 2\nfor_s = 8\nnodes = \"n1\"\n");
    List<HistoryEvent> away = events("n1", "away");
    assertTrue(!away.isEmpty(), "n1 recorded no event away");
    double longestMs = away.stream().mapToDouble(event -> event.number("for_ms")).max().orElse(0);
    // 8 s, with a margin for one round and a busy machine
    assertTrue(longestMs > 7_800 && longestMs < 9_500,
        "expected 7800 to 9500 ms away, found " + longestMs + " ms");
    Map<String, HistoryEvent> expired = new HashMap<>();
    for (HistoryEvent event : events("n1", "arrived"))
      if (event.number("age_ms") >= event.number("wait_ms")) expired.put(event.get("id"), event);
    // The load balancer sends n1 a quarter of 60 requests/s for the 2 s until it detects the pause,
    // which is 30; 15 is well below that.
    assertTrue(expired.size() >= 15,
        "expected at least 15 requests read after their deadline, found " + expired.size()
            + ": the pause did not cause the tested situation");
    for (HistoryEvent event : events("n1", "dispatched")) {
      assertTrue(!expired.containsKey(event.get("id")),
          "expired request dispatched: " + expired.get(event.get("id")) + " " + event);
    }
  }

  /**
   * A node is killed and restarted at once with the same name and an older quota plan, while other
   * processes still have connections of its previous incarnation open.
   */
  @Test
  void killedNodeRestartsWithOlderConfiguration() throws Exception {
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
        "expected the older configuration with refill 19.0 in n2.json");
    List<HistoryEvent> started = events("n2", "started");
    assertEquals(2, started.size());
    assertTrue(!started.get(0).incarnation().equals(started.get(1).incarnation()));
    double readyAfterS = (events("n2", "ready").get(1).monoNs()
        - events("director", "fault").get(0).monoNs()) / 1e9;
    // takes 0.5 s alone; other processes use the cores at the same time
    assertTrue(readyAfterS < 6, "expected n2 ready in less than 6 s, found " + readyAfterS + " s");
    double served = events("n2", "answered").stream()
        .filter(event -> event.incarnation().equals(started.get(1).incarnation())
            && event.get("how").equals("passed"))
        .count();
    assertTrue(served > 20,
        "expected more than 20 requests passed by the new process, found " + served);
  }

  /**
   * A one-way cut between nodes while the counter is silent, and a link to the counter that flaps
   * faster than the time-out of counter calls.
   */
  @Test
  void nodesSurviveOneWayCutAndFlappingCounterLink() throws Exception {
    RunResult result = run("""
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
    long peerMessagesSent = result.nodeCounters().get(1).get("peers_told");
    assertTrue(peerMessagesSent > 0,
        "expected n1 to send to peers while the counter was silent, found peers_told = 0");
    assertTrue(result.emulator().get("peer_datagrams_lost") > 0,
        "expected lost peer datagrams on the cut link, found none");
    assertTrue(
        result.relayDelayUs().get("chunks") > 100 && result.relayDelayUs().get("p50") < 2_000,
        result.relayDelayUs().toString());
    for (int node = 0; node < 4; node++)
      assertEquals(0L, result.nodeCounters().get(node).get("exceptions"));
  }
}
