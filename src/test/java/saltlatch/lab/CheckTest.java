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
 * A checker that can't fail is a defect: each property is shown a sound history, and one with its
 * violation planted.
 */
class CheckTest {
  private final List<HistoryEvent> history = new ArrayList<>();
  private long ms;

  private HistoryEvent add(String name, String kind, String... fields) {
    Map<String, String> m = new HashMap<>();
    for (int i = 0; i < fields.length; i += 2) m.put(fields[i], fields[i + 1]);
    HistoryEvent l = new HistoryEvent(name, "1", ++ms * 1_000_000, kind, m, name + ":" + ms);
    history.add(l);
    return l;
  }

  /** A sound history of one non-replayable req, which was turned away once. */
  @BeforeEach
  void sound() {
    add("n0", "started");
    add("clients", "sent", "id", "a", "node", "n0");
    add("n0", "arrived", "id", "a");
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "BUSY");
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "SERVE");
    add("stand-ins", "served", "id", "a", "units", "2", "customer", "7");
    add("n0", "answered", "id", "a", "how", "passed");
    add("clients", "got", "id", "a", "node", "n0", "how", "PASSED");
  }

  private void finds(Property p, int violations) {
    assertEquals(violations, p.check(history).size(), p.name() + ": " + p.check(history));
  }

  @Test
  void answeredTwice() {
    finds(new Properties.AnsweredOnce(), 0);
    add("n1", "answered", "id", "a", "how", "denied");
    add("clients", "got", "id", "a", "node", "n0", "how", "DENIED");
    finds(new Properties.AnsweredOnce(), 2);
  }

  @Test
  void neverAnswered() {
    finds(new Properties.Answered(), 0);
    add("n0", "arrived", "id", "b");
    finds(new Properties.Answered(), 1);
    history.add(new HistoryEvent("n0", "2", ++ms * 1_000_000, "started", Map.of(), "n0:x"));
    finds(new Properties.Answered(), 1); // it ended by itself
  }

  /**
   * Killed between the answer to its client and its next line of history: the schedule explains the
   * open req.
   */
  @Test
  void killedBeforeItsNextLine() {
    add("n0", "arrived", "id", "b");
    add("clients", "got", "id", "b", "node", "n0", "how", "PASSED");
    add("director", "fault", "kind", "kill", "node", "n0");
    history.add(new HistoryEvent("n0", "2", ++ms * 1_000_000, "started", Map.of(), "n0:x"));
    finds(new Properties.Answered(), 0);
    add("director", "fault", "kind", "kill", "node", "n1");
    add("n0", "arrived", "id", "c");
    finds(new Properties.Answered(), 1); // another's end explains nothing
  }

  @Test
  void lostWithNoFault() {
    add("clients", "sent", "id", "b", "node", "n0");
    add("clients", "got", "id", "b", "node", "n0", "how", "BROKEN");
    finds(new Properties.LostOnlyByFaults(1_000), 1);
    add("director", "planned", "node", "n1", "from_ns", "0", "until_ns", "99000000");
    finds(new Properties.LostOnlyByFaults(1_000), 1);
    add("director", "planned", "node", "n0", "from_ns", "0", "until_ns", "2000000");
    finds(new Properties.LostOnlyByFaults(1_000), 0);
    finds(new Properties.LostOnlyByFaults(0), 1); // over before the req was sent
  }

  @Test
  void repeated() {
    finds(new Properties.NotRepeated(), 0);
    add("stand-ins", "command", "id", "a", "submit", "true", "verdict", "BUSY");
    finds(new Properties.NotRepeated(), 1);
  }

  @Test
  void passedAndNeverRanOrRanTwice() {
    finds(new Properties.PassedRan(), 0);
    add("clients", "got", "id", "b", "how", "PASSED");
    add("stand-ins", "served", "id", "a", "units", "2", "customer", "7");
    finds(new Properties.PassedRan(), 2);
  }

  @Test
  void beyondQuota() {
    finds(new Properties.WithinQuota(1, 2, 0), 0);
    add("stand-ins", "served", "id", "b", "units", "3", "customer", "7");
    finds(new Properties.WithinQuota(1, 2, 3), 0);
    finds(new Properties.WithinQuota(1, 2, 2.9), 1);
  }

  /** What stood beyond the quota before the interval is not the interval's. */
  @Test
  void beyondGrowsWithinAnInterval() {
    history.clear();
    for (int s = 0; s < 6; s++) {
      ms = s * 1000L;
      add("stand-ins", "served", "id", "x" + s, "units", s == 4 ? "9" : "3", "customer", "7");
    }
    // At 1 unit a second and a burst of 2 it stands 1, 3, 5, 7, 15, 17 beyond at seconds 0 to 5.
    assertEquals(8, Recovery.beyond(history, 1, 2, 3_500_000_000L, 4_500_000_000L), 0.02);
    assertEquals(0, Recovery.beyond(history, 1, 2, 5_500_000_000L, 9_000_000_000L), 0.02);
  }

  @Test
  void recoveryIsTheFirstSteadySecond() {
    history.clear();
    for (int s = 0; s < 20; s++) {
      ms = s * 1000L;
      boolean down = (s >= 8 && s < 12) || s == 13;
      add("clients", "sent", "id", "x" + s, "node", "n0");
      add("clients", "got", "id", "x" + s, "node", "n0", "how", down ? "DENIED" : "PASSED");
    }
    assertEquals(6, Recovery.seconds(history, 0, 8, 20, Set.of("n0")));
    assertEquals(-1, Recovery.seconds(history, 0, 8, 14, Set.of("n0")));
  }

  @Test
  void historiesAreReadBackWithTornLines(@TempDir Path dir) throws IOException {
    try (HistoryWriter h = new HistoryWriter(dir, "n0", "1")) {
      h.add("started", "nodes", 3);
      h.add("arrived", "id", "a \"quoted\"\n");
    }
    Path file = dir.resolve("n0.jsonl");
    Files.writeString(file, Files.readString(file) + "{\"timestamp\":17,\"kvpL\n");
    try (HistoryWriter h = new HistoryWriter(dir, "n0", "2")) {
      h.add("started");
    }
    Files.writeString(file, Files.readString(file) + "{\"timesta"); // killed again
    List<HistoryEvent> all = HistoryEvent.readAll(dir);
    assertEquals(List.of("started", "arrived", "started"),
        all.stream().map(HistoryEvent::kind).toList());
    assertEquals("a \"quoted\"\n", all.get(1).get("id"));
    assertEquals("2", all.get(2).incarnation());
    assertTrue(all.get(0).monoNs() > 0 && all.get(0).monoNs() <= all.get(2).monoNs());
    Files.writeString(file, Files.readString(file).replaceFirst("\n", "\nnot an event\n"));
    // torn where nothing ended: not passed over
    assertThrows(IOException.class, () -> HistoryEvent.readAll(dir));
  }

  private void share(String node, String is, String part, String holdsMs) {
    add(node, "share", "is", is, "part", part, "whole", "0.5", "floor", "0.125", "holds_ms",
        holdsMs, "takes_ms", holdsMs);
  }

  /**
   * Shares above one are found; one whose lease ran out unsaid, or that was killed, does not count.
   */
  @Test
  void sharesAboveTheQuota() {
    share("n0", "whole", "0.5", "1000");
    share("n1", "whole", "0.5", "1000");
    finds(new Properties.SharesWithinQuota(), 0);
    share("n1", "more", "0.875", "1000");
    finds(new Properties.SharesWithinQuota(), 1);
    ms += 1_000; // n0 stopped: it said nothing, and its lease has run out
    share("n1", "more", "0.875", "1000");
    finds(new Properties.SharesWithinQuota(), 1);
    share("n0", "whole", "0.5", "1000");
    finds(new Properties.SharesWithinQuota(), 2);
    add("director", "fault", "kind", "kill", "node", "n0");
    share("n1", "more", "0.875", "1000");
    finds(new Properties.SharesWithinQuota(), 2);
  }

  @Test
  void timesOfMembership() {
    for (String n : List.of("n0", "n1", "n2")) {
      add(n, "started");
      for (String m : List.of("n0", "n1", "n2")) add(n, "member", "member", m, "state", "alive");
    }
    add("director", "fault", "kind", "kill", "node", "n2");
    long killed = ms;
    ms += 2_000;
    add("n0", "member", "member", "n2", "state", "failed");
    ms += 1_000;
    add("n1", "member", "member", "n2", "state", "failed");
    add("n1", "member", "member", "n0", "state", "failed"); // which runs, and nothing is cut
    MemberTimes t = MemberTimes.of(history);
    assertEquals(List.of(2.001, 3.002), t.failed());
    assertEquals(1, t.falselyFailed());
    add("director", "planned", "what", "cut n0 - n1", "from_ns", "" + (killed * 1_000_000 + 500),
        "until_ns", "" + (ms + 10) * 1_000_000);
    ms += 500;
    add("n1", "member", "member", "n0", "state", "alive");
    assertEquals(1, MemberTimes.of(history).equal().size());
  }
}
