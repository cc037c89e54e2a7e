package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Uses two warm servers and a latency objective of 1 s, of which attempts may take 0.3 on average.
 * Times are in ticks.
 */
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

  /** Returns the number of attempts in flight at which requests start to be rejected. */
  private static int inFlightLimit(LoadShedding shedding, RequestState request) {
    int inFlight = 0;
    while (!shedding.isOverloaded(request, 0)) {
      shedding.recordStart();
      inFlight++;
    }
    for (int ended = 0; ended < inFlight; ended++) {
      shedding.recordEnd();
    }
    return inFlight;
  }

  private void complete(int attempts) {
    for (int i = 0; i < attempts; i++) {
      completions.recordSuccess();
    }
  }

  /**
   * Three attempts per server are always allowed. While attempts are fast, two more per server are
   * allowed, at most four in total.
   */
  @Test
  void someAttemptsAreAlwaysAllowed() {
    assertEquals(3 * 2 + 4,
        inFlightLimit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  /**
   * 200 nodes share the attempts that two servers may have in flight, so a node that has one
   * attempt in flight starts no other.
   */
  @Test
  void nodesShareTheAllowedAttempts() {
    assertEquals(1, inFlightLimit(shedding(200), PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  /** When 100 attempts complete per second, 30 in flight take 0.3 s each. */
  @Test
  void attemptsInFlightAreLimitedByLittlesLaw() {
    complete(100);
    assertEquals(30 + 4, inFlightLimit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT)));
  }

  @Test
  void clientWithLittleTimeLeftIsRejectedAtLowerLoad() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    request.deadlineTicks = 5_000;
    assertEquals(15 + 4, inFlightLimit(shedding, request));
  }

  /** Late retries get 0.65 of the wait, which corresponds to 19.5 attempts. */
  @Test
  void lateRetryIsRejectedAtLowerLoad() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    request.lateRetry = true;
    assertEquals(20 + 4, inFlightLimit(shedding, request));
  }

  /** A request of priority 0 among requests of mean priority 1 gets 0.7 of the wait. */
  @Test
  void lowPriorityRequestIsRejectedAtLowerLoad() {
    complete(100);
    shedding.isOverloaded(PolicyFixtures.request(DecisionTrace.IDEMPOTENT, 1), 0);
    assertEquals(21 + 4,
        inFlightLimit(shedding, PolicyFixtures.request(DecisionTrace.IDEMPOTENT, 0)));
  }

  /** Attempts take twice the allowed wait, so only the attempts allowed by Little's law remain. */
  @Test
  void slowAttemptsLeaveNoHeadroom() {
    complete(100);
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    for (int attempt = 0; attempt < 200; attempt++) {
      request.stats.recordAttempt(1, 6_001, false);
    }
    assertEquals(30, inFlightLimit(shedding, request));
  }
}
