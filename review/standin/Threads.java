package review;

/** Starts the daemon threads of the stand-ins. */
final class Threads {
  private Threads() {}

  static Thread start(Runnable action) {
    Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
