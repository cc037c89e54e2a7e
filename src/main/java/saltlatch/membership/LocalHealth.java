package saltlatch.membership;

/**
 * Lifeguard's local health multiplier: how slow this node has been of late, from 0. Its periods and
 * timeouts are so many times longer, plus one.
 *
 * <p>Guards against a starved node that blames others for its own delay: live members would be
 * suspected all over the fleet. It shows as answers that come after the timeout.
 */
final class LocalHealth {
  /** The bound of Lifeguard's evaluation. */
  private static final int MAX_MULTIPLIER = 8;

  /** After an absence a node probes at a third of its pace, at half after one answered probe,
   * at full pace after two. */
  private static final int MULTIPLIER_AFTER_ABSENCE = 2;

  private int multiplier;

  int multiplier() {
    return multiplier;
  }

  void degrade(int by) {
    multiplier = Math.min(MAX_MULTIPLIER, multiplier + by);
  }

  void improve() {
    multiplier = Math.max(0, multiplier - 1);
  }

  void degradeAfterAbsence() {
    multiplier = Math.max(multiplier, MULTIPLIER_AFTER_ABSENCE);
  }
}
