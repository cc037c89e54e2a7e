package saltlatch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests in flight, by the number assigned on arrival: those without a final response and
 * those with an attempt in flight. Limits the memory that they use. Owned by the event loop.
 */
public final class InFlightRequests {
  // memory that the node and the policy use for a request in addition to its command
  private static final int OVERHEAD_BYTES = 1024;

  private final Map<Long, RequestContext> byRequestId = new HashMap<>();
  private final Set<String> clientIds = new HashSet<>();
  private final MemoryBudget memory;
  private long nextRequestId;

  /**
   * Creates an empty table.
   *
   * @param memory limits the memory that all requests together use
   */
  public InFlightRequests(MemoryBudget memory) {
    this.memory = memory;
  }

  /**
   * Registers a request on its arrival and returns its context; null if it would exceed the memory
   * limit.
   */
  public RequestContext register(ClientRequest request, RequestContext.ResponseSink client) {
    if (!memory.tryReserve(memoryBytes(request))) return null;
    RequestContext context = new RequestContext(nextRequestId++, request, client);
    byRequestId.put(context.requestId(), context);
    clientIds.add(request.id());
    return context;
  }

  /** Returns whether a request with this id, assigned by its client, is in flight. */
  public boolean containsId(String clientId) {
    return clientIds.contains(clientId);
  }

  /** Returns the request with this number, or null if it is not in flight. */
  public RequestContext find(long requestId) {
    return byRequestId.get(requestId);
  }

  /** Starts an attempt and returns its number within the request. */
  public int startAttempt(RequestContext context) {
    return context.startAttempt();
  }

  /**
   * Ends an attempt, and releases the request if it has its final response and no other attempt in
   * flight.
   */
  public void attemptEnded(RequestContext context) {
    context.attemptEnded();
    releaseIfComplete(context);
  }

  /** Removes the request if it has its final response and no attempt in flight. */
  public void releaseIfComplete(RequestContext context) {
    if (!context.isComplete() || byRequestId.remove(context.requestId()) == null) return;
    memory.release(memoryBytes(context.request()));
    clientIds.remove(context.request().id());
  }

  private static long memoryBytes(ClientRequest request) {
    return (long) request.sizeBytes() + OVERHEAD_BYTES;
  }

  /** Returns the number of requests in flight. */
  public int size() {
    return byRequestId.size();
  }
}
