package saltlatch.distribution;

import java.util.PriorityQueue;

/**
 * Virtual time in ms: steps in the order of their times, and of their being set where these are
 * equal.
 */
final class Simulation {
  private record Step(long at, long order, Runnable action) {}

  private final PriorityQueue<Step> steps = new PriorityQueue<>((one, other) -> one.at != other.at
      ? Long.compare(one.at, other.at) : Long.compare(one.order, other.order));
  private long order;
  private long now;

  long now() {
    return now;
  }

  void after(long delay, Runnable action) {
    steps.add(new Step(now + delay, order++, action));
  }

  void run(long duration) {
    long end = now + duration;
    while (!steps.isEmpty() && steps.peek().at <= end) {
      Step step = steps.poll();
      now = step.at;
      step.action.run();
    }
    now = end;
  }
}
