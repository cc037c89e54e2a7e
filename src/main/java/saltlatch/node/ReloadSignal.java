package saltlatch.node;

import sun.misc.Signal;

/**
 * SIGHUP, which asks for the configuration to be read again. Guards against a signal that comes
 * while the process starts: unhandled it would end the process; handled before there is a node to
 * take it, it would be lost, and the node would stay on the old configuration. So the signal is
 * handled first of all, and kept until the node takes it. Thread-safe: signals come on a thread of
 * the JVM's own.
 */
final class ReloadSignal {
  private Runnable reload; // null: no node takes it yet
  private boolean pending;

  /** Handles SIGHUP from now on. */
  ReloadSignal() {
    // The JDK has no public API for signals.
    Signal.handle(new Signal("HUP"), signal -> received());
  }

  private synchronized void received() {
    if (reload == null) pending = true;
    else reload.run();
  }

  /** Whether a signal has come that nobody has taken yet. */
  synchronized boolean isPending() {
    return pending;
  }

  /** Runs {@code action} at each signal, and now if one has come before. */
  synchronized void onReload(Runnable action) {
    reload = action;
    if (pending) action.run();
    pending = false;
  }
}
