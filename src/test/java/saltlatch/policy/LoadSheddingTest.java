package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Two warm servers; the latency objective is 1 s, of which attempts may take 0.3 on average. */
class LoadSheddingTest {
  private final CompletionRate completions = new CompletionRate();
  private final LoadShedding shedding = shedding(1);

  private LoadShedding shedding(int nodes) {
    SplittableRandom random = new SplittableRandom(1);
    ServerList servers = new ServerList(new SlowStart(PolicyFixtures.LIMITS, random),
        new OutlierDetection(), random);
    servers.update(PolicyFixtures.readyServers(2), 0);
    return new LoadShedding(new FleetSize(nodes), servers, completions);
  }

  /** Attempts in flight from which on requests are rejected. */
  private static int limit(LoadShedding shedding, RequestState request) {
    int inFlight = 0;
    while (!shedding.isOverloaded(request, 0)) {
      shedding.recordStart();
      inFlight++;
    }
    for (int i = 0; i < inFlight; i++) {
      shedding.recordEnd();
    }
    return inFlight;
  }

  private void complete(int attempts) {
    for (int i = 0; i < attempts; i++) {
      completions.recordSuccess();
    }
  }

  /** 3 attempts a server are free, and while attempts are quick 2 more a server, at most 4. */
  @Test
  void aFewAttemptsAreFree() {
    assertEquals(3 * 2 + 4, limit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  /**
   * 200 nodes share what two servers may hold: a node with one attempt in flight starts no other.
   */
  @Test
  void nodesShareWhatIsFree() {
    assertEquals(1, limit(shedding(200), PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  /** 100 attempts complete a second: 30 in flight take 0.3 s each. */
  @Test
  void littlesLawBoundsTheWait() {
    complete(100);
    assertEquals(30 + 4, limit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  @Test
  void aClientWithLittleTimeIsRejectedSooner() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    request.deadlineTicks = 5_000;
    assertEquals(15 + 4, limit(shedding, request));
  }

  /** 0.65 of the wait: 19.5 attempts. */
  @Test
  void aLateRetryIsRejectedSooner() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    request.lateRetry = true;
    assertEquals(20 + 4, limit(shedding, request));
  }

  /** Priority 0 among requests of mean priority 1: 0.7 of the wait. */
  @Test
  void lowPriorityIsRejectedSooner() {
    complete(100);
    shedding.isOverloaded(PolicyFixtures.request(DecisionTrace.IDEMPOTENT, 1), 0);
    assertEquals(21 + 4, limit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT, 0)));
  }

  /** Attempts take twice the wait: only what Little's law allows is left. */
  @Test
  void slowAttemptsLeaveNoHeadroom() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    for (int i = 0; i < 200; i++) {
      request.stats.recordAttempt(1, 6_001, false);
    }
    assertEquals(30, limit(shedding, request));
  }
}
