package saltlatch.distribution;

import java.util.PriorityQueue;

/**
 * Virtual time in ms. Steps run in order of their times; steps of the same time run in the order in
 * which they were scheduled.
 */
final class Simulation {
  private record Step(long atMs, long sequence, Runnable action) {}

  private final PriorityQueue<Step> steps = new PriorityQueue<>(
      (one, other) -> one.atMs != other.atMs ? Long.compare(one.atMs, other.atMs)
          : Long.compare(one.sequence, other.sequence));
  private long sequence;
  private long nowMs;

  long now() {
    return nowMs;
  }

  void schedule(long delayMs, Runnable action) {
    steps.add(new Step(nowMs + delayMs, sequence++, action));
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!steps.isEmpty() && steps.peek().atMs <= endMs) {
      Step step = steps.poll();
      nowMs = step.atMs;
      step.action.run();
    }
    nowMs = endMs;
  }
}
