package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One watch on the simulated network. It delivers messages in order and with a delay. While the
 * path is cut it delivers nothing, and neither side detects the cut.
 */
final class ModelLink {
  /** The side that serves watches. */
  interface Server {
    void accept(ModelLink link, Version since);

    void drained(ModelLink link);

    void closed(ModelLink link);
  }

  /** The side that opens a watch. */
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
  private final long delayMs;
  private final int fromIncarnation;
  private final int toIncarnation;
  private final Deque<Message> inFlight = new ArrayDeque<>();
  private boolean accepted;
  private boolean ended;

  ModelLink(ModelFleet fleet, ModelFleet.Node from, ModelFleet.Node to, long id, long delayMs) {
    this.fleet = fleet;
    this.from = from;
    this.to = to;
    this.id = id;
    this.delayMs = delayMs;
    fromIncarnation = from.incarnation();
    toIncarnation = to.incarnation();
  }

  /** Returns the number of messages written and not yet accepted by the client. */
  int outstanding() {
    return inFlight.size();
  }

  void open(Version since) {
    whenConnected(delayMs, () -> {
      if (!to.alive() || to.incarnation() != toIncarnation) {
        endForClient(false);
        return;
      }
      accepted = true;
      whenConnected(delayMs, () -> ifClientOpen(() -> from.client().opened(this)));
      to.server().accept(this, since);
    });
  }

  void send(Message message) {
    inFlight.add(message);
    if (inFlight.size() == 1) {
      deliverNext();
    }
    if (fleet.injectedFault.drainsEarly()) {
      fleet.simulation.schedule(1, () -> to.server().drained(this));
    }
  }

  /** Closes the watch by the client; the server is notified when the path is up. */
  void closeByClient() {
    ended = true;
    whenConnected(delayMs, this::notifyServerClosed);
  }

  /** Closes the watch by the server, optionally after a malformed line. */
  void closeByServer(boolean malformed) {
    accepted = false;
    whenConnected(delayMs, () -> endForClient(malformed));
  }

  /** Closes the watch because one of the two processes was killed. */
  void breakOff() {
    if (!from.alive()) {
      ended = true;
    }
    whenConnected(delayMs, () -> {
      endForClient(false);
      notifyServerClosed();
    });
  }

  private void notifyServerClosed() {
    if (accepted && to.alive() && to.incarnation() == toIncarnation) {
      accepted = false;
      to.server().closed(this);
    }
  }

  private void endForClient(boolean malformed) {
    ifClientOpen(() -> {
      ended = true;
      from.client().ended(this, malformed);
    });
  }

  private void ifClientOpen(Runnable event) {
    if (!ended && from.alive() && from.incarnation() == fromIncarnation) {
      event.run();
    }
  }

  private void deliverNext() {
    long transferMs = ModelFleet.bytes(inFlight.peek()) / fleet.bytesPerMs;
    whenConnected(delayMs + transferMs, () -> {
      if (!accepted || !to.alive() || to.incarnation() != toIncarnation) {
        return;
      }
      if (!ended && !from.reads()) {
        fleet.simulation.schedule(RETRY_MS, this::deliverNext);
        return;
      }
      Message message = fleet.injectedFault.deliveredMessage(this, inFlight.poll());
      if (!inFlight.isEmpty()) {
        deliverNext();
      }
      ifClientOpen(() -> from.client().messageReceived(this, message));
      to.server().drained(this);
    });
  }

  private void whenConnected(long delayMs, Runnable event) {
    fleet.simulation.schedule(delayMs, () -> {
      if (fleet.connected(from, to)) {
        event.run();
      } else {
        whenConnected(RETRY_MS, event);
      }
    });
  }
}
