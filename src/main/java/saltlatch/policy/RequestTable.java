package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Holds this node's unfinished requests and those of them that have changed since actions were last
 * emitted. Every event handler marks the request of its event.
 */
final class RequestTable {
  private final SlotMap<RequestState> requests = new SlotMap<>();
  private final List<RequestState> changed = new ArrayList<>();

  void add(RequestState request) {
    request.customer.openRequests++;
    requests.put(request.arrival.requestId(), request);
  }

  /** Returns the request, or null if the table does not contain it. */
  RequestState find(long requestId) {
    return requests.find(requestId);
  }

  /** Releases a request; must be called once for each. */
  void release(RequestState request) {
    request.customer.openRequests--;
    requests.release(request.arrival.requestId());
  }

  void forEach(Consumer<RequestState> action) {
    requests.forEach(action);
  }

  /** Marks a request for the next emission of actions. */
  void markChanged(RequestState request) {
    if (!request.changed) {
      changed.add(request);
    }
    request.changed = true;
  }

  /** Returns the changed requests in the order in which they were first marked. */
  List<RequestState> changed() {
    return changed;
  }
}
