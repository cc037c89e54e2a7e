package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The requests that this node has not finished, and which of them an event has changed since
 * actions were last emitted. Every event handler marks the request it names.
 */
final class RequestTable {
  private final SlotMap<RequestState> requests = new SlotMap<>();
  private final List<RequestState> changed = new ArrayList<>();

  void add(RequestState request) {
    requests.put(request.arrival.requestId(), request);
  }

  /** Null for a request that is not held. */
  RequestState find(long requestId) {
    return requests.find(requestId);
  }

  void release(RequestState request) {
    requests.release(request.arrival.requestId());
  }

  void forEach(Consumer<RequestState> use) {
    requests.forEach(use);
  }

  /** The next emission looks at it. */
  void markChanged(RequestState request) {
    if (!request.changed) {
      changed.add(request);
    }
    request.changed = true;
  }

  /** In the order in which they were first marked. */
  List<RequestState> changed() {
    return changed;
  }
}
