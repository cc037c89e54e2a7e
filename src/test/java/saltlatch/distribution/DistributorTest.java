package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the distributor with numbers of watchers, entries or steps that would make the trace files
 * of {@link DecisionTraceTest} too long.
 */
class DistributorTest {
  private static final long SECOND_MS = 1_000;
  private static final long BUDGET_BYTES_PER_SECOND = 50_000;
  private static final int WATCHERS = 300;

  private record Sent(long atMs, long watcher, Message message) {}

  /**
   * Records the distributor's actions. If {@code drainsAtOnce} is set, reports each message as
   * drained before {@code send} returns.
   */
  private static final class Host implements DistributorActions {
    final List<Sent> sent = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    Distributor distributor;
    boolean drainsAtOnce;
    long nowMs;

    @Override
    public void openUpstream(int upstream, Version since) {}

    @Override
    public void closeUpstream(int upstream, Reason reason) {}

    @Override
    public void send(long watcher, Message message) {
      sent.add(new Sent(nowMs, watcher, message));
      if (drainsAtOnce) {
        distributor.watcherDrained(watcher, nowMs);
      }
    }

    @Override
    public void closeWatcher(long watcher, Reason reason) {
      closed.add(watcher + " " + reason);
    }

    List<Sent> snapshots() {
      return sent.stream()
          .filter(sentMessage -> sentMessage.message.kind() == Message.Kind.SNAPSHOT).toList();
    }
  }

  private static Entry entry(int number, int state) {
    return new Entry("s" + number, false, "{\"name\":\"s" + number + "\",\"state\":" + state + "}");
  }

  private static Host hostWithList(RelayLimits limits, int entries) {
    Host host = new Host();
    host.distributor = new Distributor(limits, 1, 1, host);
    host.distributor.start(0);
    List<Entry> list = IntStream.range(0, entries).mapToObj(number -> entry(number, 0)).toList();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 1), true, list), 0);
    return host;
  }

  private static void advanceTo(Host host, long endMs) {
    for (; host.nowMs < endMs; host.nowMs++) {
      host.distributor.upstreamAlive(0, host.nowMs);
      if (host.distributor.nextTickAtMs() <= host.nowMs) {
        host.distributor.tick(host.nowMs);
      }
    }
  }

  @Test
  void snapshotsToManyNewWatchersStayWithinBudget() {
    Host host = hostWithList(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    host.drainsAtOnce = true;
    long listBytes = 64
        + IntStream.range(0, 100).mapToLong(number -> entry(number, 0).json().length() + 1L).sum();
    for (int watcher = 0; watcher < WATCHERS; watcher++) {
      host.distributor.watcherOpened(watcher, watcher % 3 == 0 ? new Version(6, 5) : Version.NONE,
          host.nowMs);
    }
    advanceTo(host, 60 * SECOND_MS);
    List<Sent> snapshots = host.snapshots();
    assertEquals(WATCHERS, snapshots.stream().map(Sent::watcher).distinct().count());
    assertEquals(WATCHERS, snapshots.size());
    for (Sent first : snapshots) {
      long snapshotsInASecond = snapshots.stream()
          .filter(sentMessage -> sentMessage.atMs >= first.atMs
              && sentMessage.atMs <= first.atMs + SECOND_MS)
          .count();
      assertTrue(snapshotsInASecond * listBytes <= BUDGET_BYTES_PER_SECOND + listBytes,
          snapshotsInASecond + " snapshots of " + listBytes + " bytes in one second");
    }
    // The budget is used fully: all snapshots are sent in the time that they take at the refill
    // rate, 90 % of the budget, plus 1 s. Watchers without a list (Version.NONE) are served before
    // the others; the first three snapshots are skipped, because they may be sent before the other
    // watchers connect.
    long lastAtSeconds = snapshots.get(WATCHERS - 1).atMs / SECOND_MS;
    assertTrue(lastAtSeconds <= WATCHERS * listBytes / (BUDGET_BYTES_PER_SECOND * 9 / 10) + 1,
        "last snapshot sent after " + lastAtSeconds + " s");
    Set<Long> earlyGroups = new HashSet<>();
    snapshots.subList(3, 200).forEach(sentMessage -> earlyGroups.add(sentMessage.watcher % 3));
    assertEquals(Set.of(1L, 2L), earlyGroups);
    assertEquals(0, host.distributor.status(host.nowMs).waiting());
  }

  @Test
  void limitsBelowOneAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new RelayLimits(1, 1, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new RelayLimits(0, 1, 1, 1));
  }

  @Test
  void watchersAtTheSameVersionShareOneMessage() {
    Host host = hostWithList(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    for (int watcher = 0; watcher < WATCHERS; watcher++) {
      host.distributor.watcherOpened(watcher, new Version(7, 1), 0);
      host.distributor.watcherDrained(watcher, 0);
    }
    host.sent.clear();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 2), false, List.of(entry(5, 1))),
        1);
    assertEquals(WATCHERS, host.sent.size());
    host.sent.forEach(sentMessage -> assertSame(host.sent.get(0).message, sentMessage.message));
    assertEquals(List.of(entry(5, 1)), host.sent.get(0).message.entries());
  }

  /**
   * Guards against a stack overflow and against messages out of order, which can occur if the host
   * calls {@code watcherDrained} before its {@code send} returns.
   */
  @Test
  void drainsWithinTheSendActionNeitherRecurseNorReorder() {
    int watchers = 50_000;
    Host host = hostWithList(new RelayLimits(watchers, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    host.drainsAtOnce = true;
    for (int watcher = 0; watcher < watchers; watcher++) {
      host.distributor.watcherOpened(watcher, new Version(7, 1), 0);
    }
    host.sent.clear();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 2), false, List.of(entry(5, 1))),
        1);
    assertEquals(LongStream.range(0, watchers).boxed().toList(),
        host.sent.stream().map(Sent::watcher).toList());
  }

  @Test
  void progressPostponesTheStallTimeout() {
    Host host = hostWithList(new RelayLimits(2, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    host.distributor.watcherOpened(1, Version.NONE, 0);
    host.distributor.watcherOpened(2, Version.NONE, 0);
    advanceTo(host, 20 * SECOND_MS);
    host.distributor.watcherProgressed(1, host.nowMs);
    advanceTo(host, 49 * SECOND_MS);
    assertEquals(List.of("2 STALLED"), host.closed);
    advanceTo(host, 51 * SECOND_MS);
    assertEquals(List.of("2 STALLED", "1 STALLED"), host.closed);
  }

  /**
   * Guards against a watcher that reads only a few bytes at a time: the snapshot that it receives
   * would stay in memory without limit. The maximum send time is 120 s.
   */
  @Test
  void tricklingWatcherIsClosedAfterTheMaximumSendTime() {
    Host host = hostWithList(new RelayLimits(1, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    host.distributor.watcherOpened(1, Version.NONE, 0);
    while (host.closed.isEmpty() && host.nowMs < 300 * SECOND_MS) {
      advanceTo(host, host.nowMs + SECOND_MS);
      host.distributor.watcherProgressed(1, host.nowMs);
    }
    assertEquals(List.of("1 STALLED"), host.closed);
    assertTrue(host.nowMs >= 119 * SECOND_MS && host.nowMs <= 121 * SECOND_MS,
        "watcher closed after " + host.nowMs + " ms");
  }

  /**
   * Opens a watcher every 100 ms for 20 s, and changes the list each time. The distributor reuses a
   * snapshot for up to 5 s, so the 200 watchers share at most 5 snapshots; with the changes sent
   * afterwards, all of them reach the latest version.
   */
  @Test
  void snapshotIsReusedDuringChanges() {
    Host host = hostWithList(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET_BYTES_PER_SECOND), 100);
    host.drainsAtOnce = true;
    for (int change = 2; change < 202; change++) {
      host.distributor.upstreamUpdated(0,
          new Update(new Version(7, change), false, List.of(entry(change, change))), host.nowMs);
      host.distributor.watcherOpened(change, Version.NONE, host.nowMs);
      advanceTo(host, host.nowMs + SECOND_MS / 10);
    }
    List<Sent> snapshots = host.snapshots();
    assertEquals(200, snapshots.size());
    long distinctSnapshots = snapshots.stream().map(Sent::message).distinct().count();
    assertTrue(distinctSnapshots <= 5, distinctSnapshots + " snapshots created in 20 s");
    assertEquals(0, host.distributor.status(host.nowMs).behind());
  }
}
