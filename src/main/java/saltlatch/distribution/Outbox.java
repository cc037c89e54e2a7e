package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queues actions until the decision that caused them is complete, so that a host may report an
 * outcome (such as a completed write or a refused connection) from within the action.
 */
final class Outbox implements DistributorActions {
  private final DistributorActions host;
  private final Deque<Runnable> pending = new ArrayDeque<>();
  private boolean releasing;

  Outbox(DistributorActions host) {
    this.host = host;
  }

  @Override
  public void openUpstream(int upstream, Version since) {
    pending.add(() -> host.openUpstream(upstream, since));
  }

  @Override
  public void closeUpstream(int upstream, Reason reason) {
    pending.add(() -> host.closeUpstream(upstream, reason));
  }

  @Override
  public void send(long watcher, Message message) {
    pending.add(() -> host.send(watcher, message));
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    pending.add(() -> host.closeWatcher(watcher, reason));
  }

  /** Executes the pending actions in order, including those that are queued meanwhile. */
  void release() {
    if (releasing) {
      return;
    }
    releasing = true;
    try {
      while (!pending.isEmpty()) {
        pending.poll().run();
      }
    } finally {
      releasing = false;
    }
  }
}
