package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds actions back until the decision they come from is whole, so that a host may report an
 * outcome (a socket that took all at once, a connection refused) from within the action itself.
 */
final class Outbox implements DistributorActions {
  private final DistributorActions host;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private boolean releasing;

  Outbox(DistributorActions host) {
    this.host = host;
  }

  @Override
  public void openUpstream(int upstream, Version since) {
    held.add(() -> host.openUpstream(upstream, since));
  }

  @Override
  public void closeUpstream(int upstream, Reason reason) {
    held.add(() -> host.closeUpstream(upstream, reason));
  }

  @Override
  public void send(long watcher, Message message) {
    held.add(() -> host.send(watcher, message));
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    held.add(() -> host.closeWatcher(watcher, reason));
  }

  /** Carries out what is held, in order, and what follows from it. */
  void release() {
    if (releasing) {
      return;
    }
    releasing = true;
    try {
      while (!held.isEmpty()) {
        held.poll().run();
      }
    } finally {
      releasing = false;
    }
  }
}
