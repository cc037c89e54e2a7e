package saltlatch.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * How long one member stays suspect before it is held failed, by Lifeguard: each further member
 * that suspects it shortens the time.
 *
 * <p>Invariants: a reporter counts once, so that one suspicion that comes by many ways is not taken
 * for many; the time never grows but by {@link #restart}. Times are ticks.
 */
final class SuspicionTimer {
  private final MembershipTimings timings;
  private final List<Integer> reporters = new ArrayList<>(); // the first one raised it
  private long startedAtTicks;
  private long expiresAtTicks;

  SuspicionTimer(MembershipTimings timings) {
    this.timings = timings;
  }

  /** Starts a suspicion that nobody has confirmed. */
  void start(int reporter, long now) {
    reporters.clear();
    reporters.add(reporter);
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(0);
  }

  /** Takes in that a member suspects it too. */
  void confirm(int reporter, long now) {
    if (reporters.size() > MembershipTimings.MAX_CONFIRMATIONS || reporters.contains(reporter)) {
      return;
    }
    reporters.add(reporter);
    long lengthTicks = timings.suspicionTicks(reporters.size() - 1);
    expiresAtTicks = Math.max(now, startedAtTicks + lengthTicks);
  }

  /** Counts from now on: this node did not run meanwhile, and may have missed a refutation. */
  void restart(long now) {
    startedAtTicks = now;
    expiresAtTicks = now + timings.suspicionTicks(reporters.size());
  }

  boolean hasExpired(long now) {
    return now >= expiresAtTicks;
  }

  /** Who raised the suspicion. */
  int reporter() {
    return reporters.get(0);
  }
}
