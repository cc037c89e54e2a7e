package saltlatch.wire.appserver;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.state.ConnectionPool;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnector;

/**
 * The client side towards app srvs. A connection carries one dispatch at a time, since giving one
 * up ends its connection, and an answer must not wait for another's; it is used again once its
 * dispatch was answered.
 */
public final class AppServerClient {
  /** Whom the ends of dispatches are told to. */
  public interface Listener {
    void ended(RequestContext x, int dispatch, int srv, AppServerReply answer, long spent);

    void probed(int srv, AppServerReply answer, long spent);

    /** Whether a dispatch whose connection has just come up may still begin. */
    boolean mayBegin(RequestContext x, int dispatch);
  }

  /** An app srv that the list names. */
  private static final class Srv {
    private SocketAddress address;
    private Links links; // null: none open, as with most of a large list
  }

  /** The connections to one app srv. */
  private static final class Links {
    private final ConnectionPool<AppServerConnection> pool = new ConnectionPool<>();
    private final List<AppServerConnection> busy = new ArrayList<>();

    boolean isEmpty() {
      return busy.isEmpty() && pool.oldestIdleSinceTicks() == Long.MAX_VALUE;
    }
  }

  // 3 ms: what was sent behind an answer, unasked, has come by then
  private static final long SETTLING = 30;
  private static final long SWEEP = 5_000; // 0.5 s between looks for idle connections

  private final NetClient client;
  private final Scheduler scheduler;
  private final Listener host;
  private final NodeMetrics counters;
  private final List<Srv> srvs = new ArrayList<>(); // by number; null: none has it
  // those with connections, the only ones walked
  private final Set<Srv> linked = new LinkedHashSet<>();
  private final long connectTime;
  private final long idleTime;
  private final int mostLinks;
  private int links;

  /** {@code idleTime}: an app srv closes a connection that has stood idle for so long. */
  public AppServerClient(Vertx vertx, Scheduler scheduler, Listener host, NodeMetrics counters,
      long connectTime, long idleTime, int mostLinks) {
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    this.mostLinks = mostLinks;
    this.connectTime = connectTime;
    this.idleTime = Math.max(idleTime / 2, idleTime - 4 * SWEEP); // before the other side does
    client = TcpConnector.client(vertx, Math.max(1, connectTime / 10));
    sweep();
  }

  /** The address at which a listed app srv is reached from here. */
  public void locate(int srv, SocketAddress address) {
    while (srvs.size() <= srv) srvs.add(null);
    if (srvs.get(srv) == null) srvs.set(srv, new Srv());
    Srv s = srvs.get(srv);
    if (s.address != null && !s.address.equals(address)) closeIdle(srv);
    s.address = address;
  }

  /** True if nothing is held there, so that its number can be given to another. */
  public boolean forget(int srv) {
    Srv s = find(srv);
    if (s == null) return true;
    closeIdle(srv);
    if (s.links != null) return false;
    srvs.set(srv, null);
    return true;
  }

  private Srv find(int srv) {
    return srv >= 0 && srv < srvs.size() ? srvs.get(srv) : null;
  }

  public void dispatch(RequestContext x, int dispatch, int srv, long cap) {
    counters.add(Metric.ATTEMPTS_STARTED);
    AppServerConnection link = link(srv);
    if (link == null) {
      host.ended(x, dispatch, srv, AppServerReply.withoutValue(CallResult.NO_DESCRIPTOR), 0);
      return;
    }
    link.send(x.request()::forward, x, dispatch, cap);
  }

  public void probe(int srv, long cap) {
    counters.add(Metric.HEALTH_CHECKS);
    AppServerConnection link = link(srv);
    if (link == null) host.probed(srv, AppServerReply.withoutValue(CallResult.NO_DESCRIPTOR), 0);
    else link.send(left -> Buffer.buffer("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"), null, 0, cap);
  }

  public void cancel(RequestContext x, int dispatch) {
    for (Srv s : linked) {
      for (AppServerConnection link : s.links.busy) {
        if (link.carries(x, dispatch)) {
          link.end(AppServerReply.withoutValue(CallResult.OWN_CANCEL));
          return;
        }
      }
    }
  }

  public void closeIdle(int srv) {
    Srv s = find(srv);
    if (s != null && s.links != null) closeOlder(s, Long.MAX_VALUE);
  }

  private void closeOlder(Srv s, long than) {
    s.links.pool.removeIdleBefore(than).forEach(AppServerConnection::close);
    settle(s);
  }

  /** Keeps nothing for an app srv whose last connection is gone. */
  private void settle(Srv s) {
    if (s.links == null || !s.links.isEmpty()) return;
    s.links = null;
    linked.remove(s);
  }

  private AppServerConnection link(int srv) {
    Srv s = find(srv);
    if (s == null) return null;
    // Guards against a second copy or noise right behind an answer that is taken for that of the
    // next dispatch.
    AppServerConnection link = s.links == null ? null
        : s.links.pool.takeIdleSince(scheduler.now() - SETTLING);
    if (link == null) {
      if (links >= mostLinks && !closeOldest()) return null;
      links++;
      counters.add(Metric.SERVER_CONNECTIONS_OPENED);
      link = new AppServerConnection(this, srv);
      link.open(client, s.address);
    }
    if (s.links == null) s.links = new Links();
    linked.add(s);
    s.links.busy.add(link);
    return link;
  }

  private boolean closeOldest() {
    Srv oldest = null;
    for (Srv s : linked) {
      if (oldest == null
          || s.links.pool.oldestIdleSinceTicks() < oldest.links.pool.oldestIdleSinceTicks())
        oldest = s;
    }
    if (oldest == null || oldest.links.pool.oldestIdleSinceTicks() == Long.MAX_VALUE) return false;
    closeOlder(oldest, oldest.links.pool.oldestIdleSinceTicks() + 1);
    return true;
  }

  private void sweep() {
    for (Srv s : List.copyOf(linked)) {
      if (s.links != null) closeOlder(s, scheduler.now() - idleTime);
    }
    scheduler.at(scheduler.now() + SWEEP, this::sweep);
  }

  boolean mayBegin(RequestContext x, int dispatch) {
    return host.mayBegin(x, dispatch);
  }

  /** A connection comes up within this, so the rest of an answer that has begun does too. */
  long restTime() {
    return connectTime;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  NodeMetrics counters() {
    return counters;
  }

  /** A dispatch or probe has ended on this connection, which may be used again or is gone. */
  void ended(AppServerConnection link, boolean open, RequestContext x, int dispatch,
      AppServerReply answer, long spent) {
    Srv s = find(link.srv);
    s.links.busy.remove(link);
    if (open) s.links.pool.put(link, scheduler.now());
    settle(s);
    counters.add(answer.result() == CallResult.ANSWERED ? Metric.ATTEMPTS_SUCCEEDED
        : Metric.ATTEMPTS_FAILED);
    if (x == null) host.probed(link.srv, answer, spent);
    else host.ended(x, dispatch, link.srv, answer, spent);
  }

  void gone(AppServerConnection link) {
    links--;
    Srv s = find(link.srv);
    if (s == null || s.links == null) return;
    s.links.pool.remove(link);
    settle(s);
  }
}
