package saltlatch.wire.transport;

import saltlatch.state.TimerQueue;

/**
 * What the edge needs of the node's event loop: its one clock and its one set of timers. Times are
 * ticks. Called on the event loop only, where the timers' actions run too.
 */
public interface Scheduler {
  /** The time, which never runs backwards within one node. */
  long now();

  /** Runs the action once, as soon as this time has come; at the next turn if it is past. */
  TimerQueue.Timer scheduleAt(long dueTicks, Runnable action);

  /**
   * Runs the action once all that the present turn of the loop brings has been handed on. Guards
   * against acting on the first of two events that came together, such as a command and the close
   * behind it: closes are handed on by tasks behind what was read.
   */
  void afterCurrentIteration(Runnable action);
}
