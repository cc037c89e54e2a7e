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

/** Cases with too many watchers or entries for a trace. */
class DistributorTest {
  private static final long SECOND = 1_000;
  private static final long BUDGET = 50_000;
  private static final int WATCHERS = 300;

  private record Sent(long at, long watcher, Message message) {}

  /** Notes what is done; takes messages at once, from within the action, where told so. */
  private static final class Host implements DistributorActions {
    final List<Sent> sent = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    Distributor distributor;
    boolean takesAtOnce;
    long now;

    @Override
    public void openUpstream(int upstream, Version since) {}

    @Override
    public void closeUpstream(int upstream, Reason reason) {}

    @Override
    public void send(long watcher, Message message) {
      sent.add(new Sent(now, watcher, message));
      if (takesAtOnce) {
        distributor.watcherDrained(watcher, now);
      }
    }

    @Override
    public void closeWatcher(long watcher, Reason reason) {
      closed.add(watcher + " " + reason);
    }

    List<Sent> snapshots() {
      return sent.stream().filter(one -> one.message.kind() == Message.Kind.SNAPSHOT).toList();
    }
  }

  private static Entry entry(int number, int state) {
    return new Entry("s" + number, false, "{\"name\":\"s" + number + "\",\"state\":" + state + "}");
  }

  private static Host listed(RelayLimits limits, int entries) {
    Host host = new Host();
    host.distributor = new Distributor(limits, 1, 1, host);
    host.distributor.start(0);
    List<Entry> list = IntStream.range(0, entries).mapToObj(number -> entry(number, 0)).toList();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 1), true, list), 0);
    return host;
  }

  private static void run(Host host, long end) {
    for (; host.now < end; host.now++) {
      host.distributor.upstreamAlive(0, host.now);
      if (host.distributor.nextTickAtMs() <= host.now) {
        host.distributor.tick(host.now);
      }
    }
  }

  @Test
  void manyThatStartAtOnceAreServedWithinTheBudget() {
    Host host = listed(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET), 100);
    host.takesAtOnce = true;
    long listBytes = 64
        + IntStream.range(0, 100).mapToLong(number -> entry(number, 0).json().length() + 1L).sum();
    for (int watcher = 0; watcher < WATCHERS; watcher++) {
      host.distributor.watcherOpened(watcher, watcher % 3 == 0 ? new Version(6, 5) : Version.NONE,
          host.now);
    }
    run(host, 60 * SECOND);
    List<Sent> snapshots = host.snapshots();
    assertEquals(WATCHERS, snapshots.stream().map(Sent::watcher).distinct().count());
    assertEquals(WATCHERS, snapshots.size());
    for (Sent first : snapshots) {
      long inASecond = snapshots.stream()
          .filter(one -> one.at >= first.at && one.at <= first.at + SECOND).count();
      assertTrue(inASecond * listBytes <= BUDGET + listBytes, inASecond + " lists in a second");
    }
    // Budget in use throughout, and who had none was first; but for the very first, before the
    // others were there.
    long seconds = snapshots.get(WATCHERS - 1).at / SECOND;
    assertTrue(seconds <= WATCHERS * listBytes / (BUDGET * 9 / 10) + 1, seconds + " s");
    Set<Long> early = new HashSet<>();
    snapshots.subList(3, 200).forEach(one -> early.add(one.watcher % 3));
    assertEquals(Set.of(1L, 2L), early);
    assertEquals(0, host.distributor.status(host.now).waiting());
  }

  @Test
  void limitsBelowOneAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new RelayLimits(1, 1, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new RelayLimits(0, 1, 1, 1));
  }

  @Test
  void oneMessageForAllAtTheSamePosition() {
    Host host = listed(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET), 100);
    for (int watcher = 0; watcher < WATCHERS; watcher++) {
      host.distributor.watcherOpened(watcher, new Version(7, 1), 0);
      host.distributor.watcherDrained(watcher, 0);
    }
    host.sent.clear();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 2), false, List.of(entry(5, 1))),
        1);
    assertEquals(WATCHERS, host.sent.size());
    host.sent.forEach(one -> assertSame(host.sent.get(0).message, one.message));
    assertEquals(List.of(entry(5, 1)), host.sent.get(0).message.entries());
  }

  /** Outcomes reported from within an action neither nest without bound nor change the order. */
  @Test
  void anyNumberMayTakeAtOnce() {
    int many = 50_000;
    Host host = listed(new RelayLimits(many, 1_000, 1_000, BUDGET), 100);
    host.takesAtOnce = true;
    for (int watcher = 0; watcher < many; watcher++) {
      host.distributor.watcherOpened(watcher, new Version(7, 1), 0);
    }
    host.sent.clear();
    host.distributor.upstreamUpdated(0, new Update(new Version(7, 2), false, List.of(entry(5, 1))),
        1);
    assertEquals(LongStream.range(0, many).boxed().toList(),
        host.sent.stream().map(Sent::watcher).toList());
  }

  @Test
  void slowWatcherIsNotAStalledOne() {
    Host host = listed(new RelayLimits(2, 1_000, 1_000, BUDGET), 100);
    host.distributor.watcherOpened(1, Version.NONE, 0);
    host.distributor.watcherOpened(2, Version.NONE, 0);
    run(host, 20 * SECOND);
    host.distributor.watcherProgressed(1, host.now);
    run(host, 49 * SECOND);
    assertEquals(List.of("2 STALLED"), host.closed);
    run(host, 51 * SECOND);
    assertEquals(List.of("2 STALLED", "1 STALLED"), host.closed);
  }

  /** One that takes a little now and then does not keep a list's memory for ever. */
  @Test
  void tricklingWatcherIsClosedInTheEnd() {
    Host host = listed(new RelayLimits(1, 1_000, 1_000, BUDGET), 100);
    host.distributor.watcherOpened(1, Version.NONE, 0);
    while (host.closed.isEmpty() && host.now < 300 * SECOND) {
      run(host, host.now + SECOND);
      host.distributor.watcherProgressed(1, host.now);
    }
    assertEquals(List.of("1 STALLED"), host.closed);
    assertTrue(host.now >= 119 * SECOND && host.now <= 121 * SECOND, host.now + " ms");
  }

  /**
   * A stream of changes while whole lists go out: few are made, and all reach the latest version.
   */
  @Test
  void snapshotIsReusedWhileChangesGoOn() {
    Host host = listed(new RelayLimits(WATCHERS, 1_000, 1_000, BUDGET), 100);
    host.takesAtOnce = true;
    for (int change = 2; change < 202; change++) {
      host.distributor.upstreamUpdated(0,
          new Update(new Version(7, change), false, List.of(entry(change, change))), host.now);
      host.distributor.watcherOpened(change, Version.NONE, host.now);
      run(host, host.now + SECOND / 10);
    }
    List<Sent> snapshots = host.snapshots();
    assertEquals(200, snapshots.size());
    long made = snapshots.stream().map(Sent::message).distinct().count();
    assertTrue(made <= 5, made + " whole lists made in 20 s");
    assertEquals(0, host.distributor.status(host.now).behind());
  }
}
