package saltlatch.node;

import sun.misc.Signal;

/**
 * Handles SIGHUP, which requests a reload of the configuration. Without a handler, a signal during
 * the start would terminate the process; if it were handled before the node exists and then
 * dropped, the node would keep the old configuration. Therefore the handler is installed first, and
 * a signal stays pending until the node registers its reload action. Thread-safe, since the JVM
 * delivers signals on a separate thread.
 */
final class ReloadSignal {
  private Runnable reload; // null until the node registers it
  private boolean pending;

  /** Installs the signal handler. */
  ReloadSignal() {
    // The JDK has no public API for signals.
    Signal.handle(new Signal("HUP"), signal -> received());
  }

  private synchronized void received() {
    if (reload == null) pending = true;
    else reload.run();
  }

  /** Returns whether a signal was received before a reload action was registered. */
  synchronized boolean isPending() {
    return pending;
  }

  /** Registers the action that runs at each signal, and runs it now if one is pending. */
  synchronized void onReload(Runnable action) {
    reload = action;
    if (pending) action.run();
    pending = false;
  }
}
