package saltlatch.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import saltlatch.wire.Request;

/** The reqs that are not over or have a dispatch out, by the number each got at the listener. */
public final class Exchanges {
  private static final int OWN_BYTES = 1024; // that the node and the module hold for a req beside its command

  private final Map<Long, Exchange> all = new HashMap<>();
  private final Set<String> ids = new HashSet<>();
  private final long mostBytes;
  private long bytes;
  private long next;

  public Exchanges(long mostBytes) {
    this.mostBytes = mostBytes;
  }

  /** Null when no more can be held. */
  public Exchange open(Request req, Exchange.Client client) {
    if (bytes + req.size() + OWN_BYTES > mostBytes) return null;
    Exchange x = new Exchange(next++, req, client);
    bytes += req.size() + OWN_BYTES;
    all.put(x.rid, x);
    ids.add(req.id);
    return x;
  }

  /** A req of that id is held already. */
  public boolean holds(String id) {
    return ids.contains(id);
  }

  public Exchange find(long rid) {
    return all.get(rid);
  }

  public int begin(Exchange x) {
    return x.begin();
  }

  public void ended(Exchange x) {
    x.ended();
    release(x);
  }

  /** Forgets it once it is over and nothing of it is out. */
  public void release(Exchange x) {
    if (!x.idle() || all.remove(x.rid) == null) return;
    bytes -= x.req.size() + OWN_BYTES;
    ids.remove(x.req.id);
  }

  public int size() {
    return all.size();
  }
}
