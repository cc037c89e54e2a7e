package saltlatch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The reqs that are not over or have a dispatch out, by the number each got at the listener. */
public final class InFlightRequests {
  // that the node and the module hold for a req beside its command
  private static final int OWN_BYTES = 1024;

  private final Map<Long, RequestContext> all = new HashMap<>();
  private final Set<String> ids = new HashSet<>();
  private final long mostBytes;
  private long bytes;
  private long next;

  public InFlightRequests(long mostBytes) {
    this.mostBytes = mostBytes;
  }

  /** Null when no more can be held. */
  public RequestContext open(ClientRequest req, RequestContext.ResponseSink client) {
    if (bytes + req.sizeBytes() + OWN_BYTES > mostBytes) return null;
    RequestContext x = new RequestContext(next++, req, client);
    bytes += req.sizeBytes() + OWN_BYTES;
    all.put(x.requestId, x);
    ids.add(req.id());
    return x;
  }

  /** A req of that id is held already. */
  public boolean holds(String id) {
    return ids.contains(id);
  }

  public RequestContext find(long rid) {
    return all.get(rid);
  }

  public int beginAttempt(RequestContext x) {
    return x.beginAttempt();
  }

  public void attemptEnded(RequestContext x) {
    x.attemptEnded();
    release(x);
  }

  /** Forgets it once it is over and nothing of it is out. */
  public void release(RequestContext x) {
    if (!x.isReleasable() || all.remove(x.requestId) == null) return;
    bytes -= x.request.sizeBytes() + OWN_BYTES;
    ids.remove(x.request.id());
  }

  public int size() {
    return all.size();
  }
}
