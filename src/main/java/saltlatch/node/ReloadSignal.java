package saltlatch.node;

import sun.misc.Signal;

/**
 * SIGHUPs. Guards against one that comes while the process starts: unhandled it would end it, and
 * handled before there is a node to take it, it would be lost, with the node on the old
 * configuration for good.
 */
final class ReloadSignal {
  private Runnable then;
  private boolean waits; // one has come that nobody has taken yet

  ReloadSignal() {
    // the JDK has no other way to handle a signal
    Signal.handle(new Signal("HUP"), signal -> come());
  }

  private synchronized void come() {
    if (then == null) waits = true;
    else then.run();
  }

  synchronized boolean waits() {
    return waits;
  }

  synchronized void then(Runnable take) {
    then = take;
    if (waits) take.run();
    waits = false;
  }
}
