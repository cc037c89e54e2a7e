package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One watch on the model's network: in order, delayed, and with nothing told to anybody while the
 * path is cut.
 */
final class ModelLink {
  /** Who serves watches. */
  interface Server {
    void accept(ModelLink link, Version since);

    void drained(ModelLink link);

    void closed(ModelLink link);
  }

  /** Who follows one. */
  interface Client {
    void opened(ModelLink link);

    void messageReceived(ModelLink link, Message message);

    void ended(ModelLink link, boolean malformed);
  }

  private static final long RETRY_MS = 50;

  private final ModelFleet fleet;
  final ModelFleet.Node from;
  final ModelFleet.Node to;
  final long id;
  private final long delay;
  private final int fromLife;
  private final int toLife;
  private final Deque<Message> sent = new ArrayDeque<>();
  private boolean accepted;
  private boolean ended;

  ModelLink(ModelFleet fleet, ModelFleet.Node from, ModelFleet.Node to, long id, long delay) {
    this.fleet = fleet;
    this.from = from;
    this.to = to;
    this.id = id;
    this.delay = delay;
    fromLife = from.incarnation();
    toLife = to.incarnation();
  }

  /** Messages written and not yet taken. */
  int outstanding() {
    return sent.size();
  }

  void open(Version since) {
    whenUp(delay, () -> {
      if (!to.alive() || to.incarnation() != toLife) {
        end(false);
        return;
      }
      accepted = true;
      whenUp(delay, () -> toClient(() -> from.client().opened(this)));
      to.server().accept(this, since);
    });
  }

  void send(Message message) {
    sent.add(message);
    if (sent.size() == 1) {
      carry();
    }
    if (fleet.injectedFault.drainsEarly()) {
      fleet.simulation.after(1, () -> to.server().drained(this));
    }
  }

  /** The client ends it; the server hears of it once the path is up. */
  void closeByClient() {
    ended = true;
    whenUp(delay, this::serverHearsOfEnd);
  }

  /** The server ends it, or sends what can't be read. */
  void closeByServer(boolean malformed) {
    accepted = false;
    whenUp(delay, () -> end(malformed));
  }

  /** One of the two processes died. */
  void breakOff() {
    if (!from.alive()) {
      ended = true;
    }
    whenUp(delay, () -> {
      end(false);
      serverHearsOfEnd();
    });
  }

  private void serverHearsOfEnd() {
    if (accepted && to.alive() && to.incarnation() == toLife) {
      accepted = false;
      to.server().closed(this);
    }
  }

  private void end(boolean malformed) {
    toClient(() -> {
      ended = true;
      from.client().ended(this, malformed);
    });
  }

  private void toClient(Runnable event) {
    if (!ended && from.alive() && from.incarnation() == fromLife) {
      event.run();
    }
  }

  private void carry() {
    long transfer = ModelFleet.bytes(sent.peek()) / fleet.bytesPerMs;
    whenUp(delay + transfer, () -> {
      if (!accepted || !to.alive() || to.incarnation() != toLife) {
        return;
      }
      if (!ended && !from.reads()) {
        fleet.simulation.after(RETRY_MS, this::carry);
        return;
      }
      Message message = fleet.injectedFault.onTheWay(this, sent.poll());
      if (!sent.isEmpty()) {
        carry();
      }
      toClient(() -> from.client().messageReceived(this, message));
      to.server().drained(this);
    });
  }

  private void whenUp(long after, Runnable event) {
    fleet.simulation.after(after, () -> {
      if (fleet.connected(from, to)) {
        event.run();
      } else {
        whenUp(RETRY_MS, event);
      }
    });
  }
}
