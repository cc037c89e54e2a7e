package saltlatch.wire.transport;

import saltlatch.state.TimerQueue;

/**
 * What the client side needs of the node: the one clock and the one set of timers, in tenths of a
 * ms.
 */
public interface Scheduler {
  long now();

  TimerQueue.Timer at(long when, Runnable then);

  /** Once all that this turn of the loop brings is told, closes too. */
  void afterTurn(Runnable then);
}
