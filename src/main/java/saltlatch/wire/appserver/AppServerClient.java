package saltlatch.wire;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Exchange;
import saltlatch.state.Pool;

/**
 * The client side towards app srvs. A connection carries one dispatch at a time, since giving one up ends its
 * connection, and an answer must not wait for another's; it is used again once its dispatch was answered.
 */
public final class AppServers {
  /** Whom the ends of dispatches are told to. */
  public interface Host {
    void ended(Exchange x, int dispatch, int srv, Answer answer, long spent);

    void probed(int srv, Answer answer, long spent);

    /** Whether a dispatch whose connection has just come up may still begin. */
    boolean mayBegin(Exchange x, int dispatch);
  }

  /** An app srv that the list names. */
  private static final class Srv {
    private SocketAddress address;
    private Links links; // null: none open, as with most of a large list
  }

  /** The connections to one app srv. */
  private static final class Links {
    private final Pool<AppLink> pool = new Pool<>();
    private final List<AppLink> busy = new ArrayList<>();

    boolean isEmpty() {
      return busy.isEmpty() && pool.oldest() == Long.MAX_VALUE;
    }
  }

  private static final long SETTLING = 30; // 3 ms: what was sent behind an answer, unasked, has come by then
  private static final long SWEEP = 5_000; // 0.5 s between looks for idle connections

  private final NetClient client;
  private final Scheduler scheduler;
  private final Host host;
  private final Counters counters;
  private final List<Srv> srvs = new ArrayList<>(); // by number; null: none has it
  private final Set<Srv> linked = new LinkedHashSet<>(); // those with connections, the only ones walked
  private final long connectTime;
  private final long idleTime;
  private final int mostLinks;
  private int links;

  /** {@code idleTime}: an app srv closes a connection that has stood idle for so long. */
  public AppServers(Vertx vertx, Scheduler scheduler, Host host, Counters counters, long connectTime,
      long idleTime, int mostLinks) {
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    this.mostLinks = mostLinks;
    this.connectTime = connectTime;
    this.idleTime = Math.max(idleTime / 2, idleTime - 4 * SWEEP); // before the other side does
    client = Dial.client(vertx, Math.max(1, connectTime / 10));
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

  public void dispatch(Exchange x, int dispatch, int srv, long cap) {
    counters.add(Count.DISPATCHED);
    AppLink link = link(srv);
    if (link == null) {
      host.ended(x, dispatch, srv, Answer.none(Ending.NO_DESCRIPTOR), 0);
      return;
    }
    link.send(x.req::forward, x, dispatch, cap);
  }

  public void probe(int srv, long cap) {
    counters.add(Count.PROBED);
    AppLink link = link(srv);
    if (link == null) host.probed(srv, Answer.none(Ending.NO_DESCRIPTOR), 0);
    else link.send(left -> Buffer.buffer("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"), null, 0, cap);
  }

  public void cancel(Exchange x, int dispatch) {
    for (Srv s : linked) {
      for (AppLink link : s.links.busy) {
        if (link.carries(x, dispatch)) {
          link.end(Answer.none(Ending.OWN_CANCEL));
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
    s.links.pool.takeOlder(than).forEach(AppLink::close);
    settle(s);
  }

  /** Keeps nothing for an app srv whose last connection is gone. */
  private void settle(Srv s) {
    if (s.links == null || !s.links.isEmpty()) return;
    s.links = null;
    linked.remove(s);
  }

  private AppLink link(int srv) {
    Srv s = find(srv);
    if (s == null) return null;
    // Guards against a second copy or noise right behind an answer that is taken for that of the next dispatch.
    AppLink link = s.links == null ? null : s.links.pool.take(scheduler.now() - SETTLING);
    if (link == null) {
      if (links >= mostLinks && !closeOldest()) return null;
      links++;
      counters.add(Count.CONNECTIONS_OPENED);
      link = new AppLink(this, srv);
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
      if (oldest == null || s.links.pool.oldest() < oldest.links.pool.oldest()) oldest = s;
    }
    if (oldest == null || oldest.links.pool.oldest() == Long.MAX_VALUE) return false;
    closeOlder(oldest, oldest.links.pool.oldest() + 1);
    return true;
  }

  private void sweep() {
    for (Srv s : List.copyOf(linked)) {
      if (s.links != null) closeOlder(s, scheduler.now() - idleTime);
    }
    scheduler.at(scheduler.now() + SWEEP, this::sweep);
  }

  boolean mayBegin(Exchange x, int dispatch) {
    return host.mayBegin(x, dispatch);
  }

  /** A connection comes up within this, so the rest of an answer that has begun does too. */
  long restTime() {
    return connectTime;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  Counters counters() {
    return counters;
  }

  /** A dispatch or probe has ended on this connection, which may be used again or is gone. */
  void ended(AppLink link, boolean open, Exchange x, int dispatch, Answer answer, long spent) {
    Srv s = find(link.srv);
    s.links.busy.remove(link);
    if (open) s.links.pool.put(link, scheduler.now());
    settle(s);
    counters
        .add(answer.ending() == Ending.ANSWERED ? Count.DISPATCHES_PASSED : Count.DISPATCHES_ENDED_OTHERWISE);
    if (x == null) host.probed(link.srv, answer, spent);
    else host.ended(x, dispatch, link.srv, answer, spent);
  }

  void gone(AppLink link) {
    links--;
    Srv s = find(link.srv);
    if (s == null || s.links == null) return;
    s.links.pool.remove(link);
    settle(s);
  }
}
