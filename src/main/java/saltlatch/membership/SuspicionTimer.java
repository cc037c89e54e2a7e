package saltlatch.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures how long a member stays suspect before it is considered failed. As in Lifeguard, each
 * further member that suspects it shortens the time.
 *
 * <p>Invariants: each reporter counts once, so that a suspicion that arrives on several paths does
 * not count several times; only {@link #restart} lengthens the time. Times are in ticks.
 */
final class SuspicionTimer {
  private final MembershipTimings timings;
  private final List<Integer> reporters = new ArrayList<>(); // the first raised the suspicion
  private long startedAtTicks;
  private long expiresAtTicks;

  SuspicionTimer(MembershipTimings timings) {
    this.timings = timings;
  }

  /** Starts a suspicion without confirmations. */
  void start(int reporter, long now) {
    reporters.clear();
    reporters.add(reporter);
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(0);
  }

  /** Records that another member has raised the same suspicion. */
  void confirm(int reporter, long now) {
    if (reporters.size() > MembershipTimings.MAX_CONFIRMATIONS || reporters.contains(reporter)) {
      return;
    }
    reporters.add(reporter);
    long durationTicks = timings.suspicionTicks(reporters.size() - 1);
    expiresAtTicks = Math.max(now, startedAtTicks + durationTicks);
  }

  /**
   * Restarts the time after this node did not run for a while and may have missed a refutation.
   */
  void restart(long now) {
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(reporters.size());
  }

  boolean hasExpired(long now) {
    return now >= expiresAtTicks;
  }

  /** Returns the member that raised the suspicion. */
  int reporter() {
    return reporters.get(0);
  }
}
