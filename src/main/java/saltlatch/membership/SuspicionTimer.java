package saltlatch.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Determines when a suspect member is considered failed. As in Lifeguard, the suspicion expires
 * earlier with each confirmation, which is the same suspicion reported by another member.
 *
 * <p>Invariants: each reporter counts once, even if its suspicion arrives on several paths; only
 * {@link #restart} postpones the expiry of a suspicion. Times are in ticks.
 */
final class SuspicionTimer {
  private final MembershipTimings timings;
  private final List<Integer> reporters = new ArrayList<>(); // first: raised the suspicion
  private long startedAtTicks;
  private long expiresAtTicks;

  SuspicionTimer(MembershipTimings timings) {
    this.timings = timings;
  }

  /** Starts a new suspicion, which has no confirmations yet. */
  void start(int reporter, long now) {
    reporters.clear();
    reporters.add(reporter);
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(0);
  }

  /**
   * Records a confirmation and shortens the suspicion. Ignores a reporter that is already recorded.
   */
  void confirm(int reporter, long now) {
    if (reporters.size() > MembershipTimings.MAX_CONFIRMATIONS || reporters.contains(reporter)) {
      return;
    }
    reporters.add(reporter);
    long durationTicks = timings.suspicionTicks(reporters.size() - 1);
    expiresAtTicks = Math.max(now, startedAtTicks + durationTicks);
  }

  /**
   * Measures the suspicion's duration from {@code now}. Called after a pause of this process, in
   * which it may have missed a refutation.
   */
  void restart(long now) {
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(reporters.size());
  }

  boolean hasExpired(long now) {
    return now >= expiresAtTicks;
  }

  /** Returns the index of the member that raised the suspicion. */
  int reporter() {
    return reporters.get(0);
  }
}
