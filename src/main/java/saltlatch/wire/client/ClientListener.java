package saltlatch.wire.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketCloser;

/** The server side: clients' connections, their commands in and the answers out. */
public final class ClientListener {
  /** Whom reqs are handed to. */
  public interface Handler {
    /** Null when the req was answered at once, since it can't be taken. */
    RequestContext arrived(ClientRequest req, RequestContext.ResponseSink client);

    void left(RequestContext x);

    /** The req gets its final answer now, since this node ends. */
    void abandon(RequestContext x);

    /** Text for the command INFO. */
    String figures();
  }

  // 2 s: a connection with no open req may be closed after that
  private static final long MUTE = 20_000;
  // 0.25 s between looks, so that a silent one ends well within 3 s
  private static final long SWEEP = 2_500;

  private final Handler host;
  private final NodeMetrics counters;
  private final NetServer server;
  private final int mostLinks;
  private final Scheduler scheduler;
  // no whole command yet, oldest first
  private final Set<ClientConnection> silent = new LinkedHashSet<>();
  // the one that spoke last comes last
  private final Set<ClientConnection> known = new LinkedHashSet<>();
  // wait for their client's end, for an instant; oldest first
  private final Set<ClientConnection> ending = new LinkedHashSet<>();
  private int open; // connections, those that are just ending too
  private boolean ready;
  private boolean closing;
  private boolean refusing;

  public ClientListener(Vertx vertx, Scheduler scheduler, Handler host, NodeMetrics counters,
      int mostLinks) {
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    this.mostLinks = mostLinks;
    // Guards against a crowd that connects at once: past a short backlog usual clients would be
    // turned away with it.
    server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true)
        .setAcceptBacklog(16 * mostLinks));
    server.connectHandler(this::accept);
    server.exceptionHandler(e -> counters.add(Metric.CLIENT_CONNECTIONS_BROKEN));
  }

  public Future<?> open(SocketAddress at) {
    sweep();
    return server.listen(at);
  }

  /** The port in use, which the system chose if it was asked for 0. */
  public int port() {
    return server.actualPort();
  }

  /** From now on PING is answered with PONG. */
  public void ready() {
    ready = true;
  }

  /**
   * From now on a connection ends right behind an answer. Guards against a req that crosses the end
   * of an idle one and is lost with it: whoever has just been answered has not written the next
   * yet.
   */
  public void closeWhenAnswered() {
    closing = true;
  }

  /**
   * Aborts what is still owed and denies what still comes, so that idle connections are all that is
   * left.
   */
  public void refuse() {
    refusing = true;
    all().forEach(ClientConnection::abandon);
  }

  public void closeIdle() {
    all().forEach(ClientConnection::closeIfDone);
  }

  /** Clients' connections that are open. */
  public int links() {
    return open;
  }

  boolean isReady() {
    return ready;
  }

  boolean isClosing() {
    return closing;
  }

  public boolean isRefusing() {
    return refusing;
  }

  Handler host() {
    return host;
  }

  NodeMetrics counters() {
    return counters;
  }

  private List<ClientConnection> all() {
    List<ClientConnection> all = new ArrayList<>(silent);
    all.addAll(known);
    return all;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  void spoke(ClientConnection link) {
    silent.remove(link);
    known.remove(link);
    known.add(link);
  }

  void ended(ClientConnection link) {
    open--;
    gone(link);
  }

  void gone(ClientConnection link) {
    silent.remove(link);
    known.remove(link);
    ending.remove(link);
  }

  void lingers(ClientConnection link) {
    gone(link);
    ending.add(link);
  }

  /**
   * Guards against connections that say nothing, or half a command and no more: they are owed an
   * end within 3 s.
   */
  private void sweep() {
    all().forEach(link -> link.closeIfMute(scheduler.now() - MUTE));
    scheduler.at(scheduler.now() + SWEEP, this::sweep);
  }

  /**
   * Guards against clients crowded out by connections that say nothing, or that asked once and
   * stay: first goes one that is ending anyway; then the one still for longest, if no client can
   * count on it any more; then the oldest that has said nothing; then one that is idle just now,
   * whose client may ask again on a new connection.
   */
  private ClientConnection leastNeeded() {
    if (!ending.isEmpty()) return ending.iterator().next();
    ClientConnection idle = known.stream().filter(ClientConnection::owesNothing).findFirst()
        .orElse(null);
    ClientConnection mute = silent.isEmpty() ? null : silent.iterator().next();
    if (idle != null && idle.usedAt() <= scheduler.now() - MUTE) return idle;
    return mute != null ? mute : idle;
  }

  private void accept(NetSocket socket) {
    counters.add(Metric.CLIENT_CONNECTIONS_ACCEPTED);
    if (silent.size() + known.size() + ending.size() >= mostLinks) {
      counters.add(Metric.CLIENT_CONNECTIONS_OVER_LIMIT);
      ClientConnection least = leastNeeded();
      if (least == null) {
        SocketCloser.closeNow(socket);
        return;
      }
      least.close();
    }
    open++;
    silent.add(new ClientConnection(this, socket));
  }
}
