package saltlatch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests in flight: those without a final response and those with an attempt still out, by
 * the number that each got on arrival. What they hold in memory is limited. Owned by the event
 * loop.
 */
public final class InFlightRequests {
  // what the node and the policy hold for a request beside its command
  private static final int OVERHEAD_BYTES = 1024;

  private final Map<Long, RequestContext> byRequestId = new HashMap<>();
  private final Set<String> clientIds = new HashSet<>();
  private final long maxBytes;
  private long bytes;
  private long nextRequestId;

  /** Starts empty; {@code maxBytes}: what all requests together may hold. */
  public InFlightRequests(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes in a request on its arrival; null if it would exceed the memory limit. */
  public RequestContext register(ClientRequest request, RequestContext.ResponseSink client) {
    long ownBytes = (long) request.sizeBytes() + OVERHEAD_BYTES;
    if (bytes + ownBytes > maxBytes) return null;
    RequestContext context = new RequestContext(nextRequestId++, request, client);
    bytes += ownBytes;
    byRequestId.put(context.requestId(), context);
    clientIds.add(request.id());
    return context;
  }

  /** Whether a request with this id, as its client gave it, is in flight. */
  public boolean containsId(String clientId) {
    return clientIds.contains(clientId);
  }

  /** The request with this number, or null. */
  public RequestContext find(long requestId) {
    return byRequestId.get(requestId);
  }

  /** Begins an attempt, and returns its number within the request. */
  public int startAttempt(RequestContext context) {
    return context.startAttempt();
  }

  /** Ends an attempt, and releases the request if that was the last thing in flight. */
  public void attemptEnded(RequestContext context) {
    context.attemptEnded();
    releaseIfComplete(context);
  }

  /** Forgets a request that has its final response and no attempt out. */
  public void releaseIfComplete(RequestContext context) {
    if (!context.isComplete() || byRequestId.remove(context.requestId()) == null) return;
    bytes -= context.request().sizeBytes() + OVERHEAD_BYTES;
    clientIds.remove(context.request().id());
  }

  /** How many requests are in flight. */
  public int size() {
    return byRequestId.size();
  }
}
