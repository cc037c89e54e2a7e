package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.check.HistoryEvent;
import saltlatch.lab.check.MemberTimes;
import saltlatch.lab.check.Properties;
import saltlatch.lab.check.Property;
import saltlatch.lab.check.Recovery;

/**
 * Guards against checks that cannot fail: each property is checked against a correct history, and
 * against one with an inserted violation.
 */
class CheckTest {
  private final List<HistoryEvent> history = new ArrayList<>();
  private long nowMs;

  private HistoryEvent add(String name, String kind, String... fields) {
    Map<String, String> fieldMap = new HashMap<>();
    for (int i = 0; i < fields.length; i += 2) fieldMap.put(fields[i], fields[i + 1]);
    HistoryEvent event = new HistoryEvent(name, "1", ++nowMs * 1_000_000, kind, fieldMap,
        name + ":" + nowMs);
    history.add(event);
    return event;
  }

  /** A correct history of one non-retriable request that an app server rejected once as busy. */
  @BeforeEach
  void addCorrectHistory() {
    add("n0", "started");
    add("clients", "sent", "id", "a", "node", "n0");
    add("n0", "arrived", "id", "a");
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "BUSY");
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "SERVE");
    add("stand-ins", "served", "id", "a", "units", "2", "customer", "7");
    add("n0", "answered", "id", "a", "how", "passed");
    add("clients", "got", "id", "a", "node", "n0", "how", "PASSED");
  }

  private void assertViolations(Property property, int expected) {
    assertEquals(expected, property.check(history).size(),
        property.name() + ": " + property.check(history));
  }

  @Test
  void findsSecondAnswers() {
    assertViolations(new Properties.AnsweredOnce(), 0);
    add("n1", "answered", "id", "a", "how", "denied");
    add("clients", "got", "id", "a", "node", "n0", "how", "DENIED");
    assertViolations(new Properties.AnsweredOnce(), 2);
  }

  @Test
  void findsRequestsWithoutAnswer() {
    assertViolations(new Properties.Answered(), 0);
    add("n0", "arrived", "id", "b");
    assertViolations(new Properties.Answered(), 1);
    history.add(new HistoryEvent("n0", "2", ++nowMs * 1_000_000, "started", Map.of(), "n0:x"));
    assertViolations(new Properties.Answered(), 1); // the process ended by itself
  }

  /**
   * A node can be killed between its answer to a client and the history line of that answer. The
   * schedule then explains the open request.
   */
  @Test
  void killExplainsOpenRequests() {
    add("n0", "arrived", "id", "b");
    add("clients", "got", "id", "b", "node", "n0", "how", "PASSED");
    add("director", "fault", "kind", "kill", "node", "n0");
    history.add(new HistoryEvent("n0", "2", ++nowMs * 1_000_000, "started", Map.of(), "n0:x"));
    assertViolations(new Properties.Answered(), 0);
    add("director", "fault", "kind", "kill", "node", "n1");
    add("n0", "arrived", "id", "c");
    assertViolations(new Properties.Answered(), 1); // the end of another node explains nothing
  }

  @Test
  void findsLostAnswersWithoutFault() {
    add("clients", "sent", "id", "b", "node", "n0");
    add("clients", "got", "id", "b", "node", "n0", "how", "BROKEN");
    assertViolations(new Properties.LostOnlyByFaults(1_000), 1);
    add("director", "planned", "node", "n1", "from_ns", "0", "until_ns", "99000000");
    assertViolations(new Properties.LostOnlyByFaults(1_000), 1);
    add("director", "planned", "node", "n0", "from_ns", "0", "until_ns", "2000000");
    assertViolations(new Properties.LostOnlyByFaults(1_000), 0);
    // without slack: the fault ended before the request was sent
    assertViolations(new Properties.LostOnlyByFaults(0), 1);
  }

  @Test
  void findsRepeatedNonRetriableRequests() {
    assertViolations(new Properties.NotRepeated(), 0);
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "BUSY");
    assertViolations(new Properties.NotRepeated(), 1);
  }

  @Test
  void findsSucceededRequestsThatNeverRanOrRanTwice() {
    assertViolations(new Properties.SucceededRan(), 0);
    add("clients", "got", "id", "b", "how", "PASSED");
    add("stand-ins", "served", "id", "a", "units", "2", "customer", "7");
    assertViolations(new Properties.SucceededRan(), 2);
  }

  @Test
  void findsUnitsBeyondQuota() {
    assertViolations(new Properties.WithinQuota(1, 2, 0), 0);
    add("stand-ins", "served", "id", "b", "units", "3", "customer", "7");
    assertViolations(new Properties.WithinQuota(1, 2, 3), 0);
    assertViolations(new Properties.WithinQuota(1, 2, 2.9), 1);
  }

  /** Units charged beyond the quota before the interval do not count for the interval. */
  @Test
  void overshootGrowthCountsOnlyTheInterval() {
    history.clear();
    for (int second = 0; second < 6; second++) {
      nowMs = second * 1000L;
      add("stand-ins", "served", "id", "x" + second, "units", second == 4 ? "9" : "3", "customer",
          "7");
    }
    // With 1 unit a second and a burst of 2, the overshoot at seconds 0 to 5 is 1, 3, 5, 7, 15, 17.
    assertEquals(8, Recovery.overshootGrowth(history, 1, 2, 3_500_000_000L, 4_500_000_000L), 0.02);
    assertEquals(0, Recovery.overshootGrowth(history, 1, 2, 5_500_000_000L, 9_000_000_000L), 0.02);
  }

  @Test
  void recoveryEndsAtTheFirstSteadySecond() {
    history.clear();
    for (int second = 0; second < 20; second++) {
      nowMs = second * 1000L;
      boolean down = (second >= 8 && second < 12) || second == 13;
      add("clients", "sent", "id", "x" + second, "node", "n0");
      add("clients", "got", "id", "x" + second, "node", "n0", "how", down ? "DENIED" : "PASSED");
    }
    assertEquals(6, Recovery.recoverySeconds(history, 0, 8, 20, Set.of("n0")));
    assertEquals(-1, Recovery.recoverySeconds(history, 0, 8, 14, Set.of("n0")));
  }

  @Test
  void readsHistoriesWithTruncatedLastLines(@TempDir Path dir) throws IOException {
    try (HistoryWriter writer = new HistoryWriter(dir, "n0", "1")) {
      writer.add("started", "nodes", 3);
      writer.add("arrived", "id", "a \"quoted\"\n");
    }
    Path file = dir.resolve("n0.jsonl");
    Files.writeString(file, Files.readString(file) + "{\"timestamp\":17,\"kvpL\n");
    try (HistoryWriter writer = new HistoryWriter(dir, "n0", "2")) {
      writer.add("started");
    }
    Files.writeString(file, Files.readString(file) + "{\"timesta"); // killed again
    List<HistoryEvent> events = HistoryEvent.readAll(dir);
    assertEquals(List.of("started", "arrived", "started"),
        events.stream().map(HistoryEvent::kind).toList());
    assertEquals("a \"quoted\"\n", events.get(1).get("id"));
    assertEquals("2", events.get(2).incarnation());
    assertTrue(events.get(0).monoNs() > 0 && events.get(0).monoNs() <= events.get(2).monoNs());
    Files.writeString(file, Files.readString(file).replaceFirst("\n", "\nnot an event\n"));
    // a malformed line in the middle of an incarnation is not skipped
    assertThrows(IOException.class, () -> HistoryEvent.readAll(dir));
  }

  private void share(String node, String is, String part, String holdsMs) {
    add(node, "share", "is", is, "part", part, "whole", "0.5", "floor", "0.125", "holds_ms",
        holdsMs, "takes_ms", holdsMs);
  }

  /**
   * A sum of shares above 1 is found. The share of a process whose lease expired without an event,
   * or which was killed, does not count.
   */
  @Test
  void findsSharesAboveTheQuota() {
    share("n0", "whole", "0.5", "1000");
    share("n1", "whole", "0.5", "1000");
    assertViolations(new Properties.SharesWithinQuota(), 0);
    share("n1", "more", "0.875", "1000");
    assertViolations(new Properties.SharesWithinQuota(), 1);
    nowMs += 1_000; // n0 is stopped: it records nothing, and its lease has expired
    share("n1", "more", "0.875", "1000");
    assertViolations(new Properties.SharesWithinQuota(), 1);
    share("n0", "whole", "0.5", "1000");
    assertViolations(new Properties.SharesWithinQuota(), 2);
    add("director", "fault", "kind", "kill", "node", "n0");
    share("n1", "more", "0.875", "1000");
    assertViolations(new Properties.SharesWithinQuota(), 2);
  }

  @Test
  void computesMembershipTimes() {
    for (String observer : List.of("n0", "n1", "n2")) {
      add(observer, "started");
      for (String member : List.of("n0", "n1", "n2"))
        add(observer, "member", "member", member, "state", "alive");
    }
    add("director", "fault", "kind", "kill", "node", "n2");
    long killedMs = nowMs;
    nowMs += 2_000;
    add("n0", "member", "member", "n2", "state", "failed");
    nowMs += 1_000;
    add("n1", "member", "member", "n2", "state", "failed");
    add("n1", "member", "member", "n0", "state", "failed"); // n0 runs, and no link is cut
    MemberTimes times = MemberTimes.of(history);
    assertEquals(List.of(2.001, 3.002), times.failed());
    assertEquals(1, times.falselyFailed());
    add("director", "planned", "what", "cut n0 - n1", "from_ns", "" + (killedMs * 1_000_000 + 500),
        "until_ns", "" + (nowMs + 10) * 1_000_000);
    nowMs += 500;
    add("n1", "member", "member", "n0", "state", "alive");
    assertEquals(1, MemberTimes.of(history).equal().size());
  }
}
