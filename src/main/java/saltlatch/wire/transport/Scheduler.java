package saltlatch.wire;

import saltlatch.state.Timers;

/** What the client side needs of the node: the one clock and the one set of timers, in tenths of a ms. */
public interface Scheduler {
  long now();

  Timers.Timer at(long when, Runnable then);

  /** Once all that this turn of the loop brings is told, closes too. */
  void afterTurn(Runnable then);
}
