package saltlatch.wire.transport;

import saltlatch.state.TimerQueue;

/**
 * The clock and the timers of the node's event loop. Times are in ticks. May be called only on the
 * event loop, which also runs the timers' actions.
 */
public interface Scheduler {
  /** Returns the current time, which never decreases within one node. */
  long now();

  /** Runs the action once when this time is reached; if it is past, at the next iteration. */
  TimerQueue.Timer scheduleAt(long dueTicks, Runnable action);

  /**
   * Runs the action after all events of the loop's current iteration have been dispatched. Guards
   * against acting on only the first of two events that arrived together, such as a command and the
   * close that follows it: a close is dispatched by a task that runs after the data was read.
   */
  void afterCurrentIteration(Runnable action);
}
