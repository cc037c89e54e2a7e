package saltlatch.wire;

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
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Exchange;

/** The server side: clients' connections, their commands in and the answers out. */
public final class ClientListener {
  /** Whom reqs are handed to. */
  public interface Host {
    /** Null when the req was answered at once, since it can't be taken. */
    Exchange arrived(Request req, Exchange.Client client);

    void left(Exchange x);

    /** The req gets its final answer now, since this node ends. */
    void abandon(Exchange x);

    /** Text for the command INFO. */
    String figures();
  }

  private static final long MUTE = 20_000; // 2 s: a connection with no open req may be closed after that
  private static final long SWEEP = 2_500; // 0.25 s between looks, so that a silent one ends well within 3 s

  private final Host host;
  private final Counters counters;
  private final NetServer server;
  private final int mostLinks;
  private final Scheduler scheduler;
  private final Set<ClientLink> silent = new LinkedHashSet<>(); // no whole command yet, oldest first
  private final Set<ClientLink> known = new LinkedHashSet<>(); // the one that spoke last comes last
  private final Set<ClientLink> ending = new LinkedHashSet<>(); // wait for their client's end, for an instant; oldest first
  private int open; // connections, those that are just ending too
  private boolean ready;
  private boolean closing;
  private boolean refusing;

  public ClientListener(Vertx vertx, Scheduler scheduler, Host host, Counters counters, int mostLinks) {
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    this.mostLinks = mostLinks;
    // Guards against a crowd that connects at once: past a short backlog usual clients would be turned away with it.
    server = vertx.createNetServer(
        new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(16 * mostLinks));
    server.connectHandler(this::accept);
    server.exceptionHandler(e -> counters.add(Count.CLIENTS_BROKEN));
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
   * From now on a connection ends right behind an answer. Guards against a req that crosses the end of an idle one and
   * is lost with it: whoever has just been answered has not written the next yet.
   */
  public void closeWhenAnswered() {
    closing = true;
  }

  /** Aborts what is still owed and denies what still comes, so that idle connections are all that is left. */
  public void refuse() {
    refusing = true;
    all().forEach(ClientLink::abandon);
  }

  public void closeIdle() {
    all().forEach(ClientLink::closeIfDone);
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

  Host host() {
    return host;
  }

  Counters counters() {
    return counters;
  }

  private List<ClientLink> all() {
    List<ClientLink> all = new ArrayList<>(silent);
    all.addAll(known);
    return all;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  void spoke(ClientLink link) {
    silent.remove(link);
    known.remove(link);
    known.add(link);
  }

  void ended(ClientLink link) {
    open--;
    gone(link);
  }

  void gone(ClientLink link) {
    silent.remove(link);
    known.remove(link);
    ending.remove(link);
  }

  void lingers(ClientLink link) {
    gone(link);
    ending.add(link);
  }

  /** Guards against connections that say nothing, or half a command and no more: they are owed an end within 3 s. */
  private void sweep() {
    all().forEach(link -> link.closeIfMute(scheduler.now() - MUTE));
    scheduler.at(scheduler.now() + SWEEP, this::sweep);
  }

  /**
   * Guards against clients crowded out by connections that say nothing, or that asked once and stay: first goes one that is
   * ending anyway; then the one still for longest, if no client can count on it any more; then the oldest that has said
   * nothing; then one that is idle just now, whose client may ask again on a new connection.
   */
  private ClientLink leastNeeded() {
    if (!ending.isEmpty()) return ending.iterator().next();
    ClientLink idle = known.stream().filter(ClientLink::owesNothing).findFirst().orElse(null);
    ClientLink mute = silent.isEmpty() ? null : silent.iterator().next();
    if (idle != null && idle.usedAt() <= scheduler.now() - MUTE) return idle;
    return mute != null ? mute : idle;
  }

  private void accept(NetSocket socket) {
    counters.add(Count.CLIENTS_ACCEPTED);
    if (silent.size() + known.size() + ending.size() >= mostLinks) {
      counters.add(Count.CLIENTS_OVER_LIMIT);
      ClientLink least = leastNeeded();
      if (least == null) {
        Closing.atOnce(socket);
        return;
      }
      least.close();
    }
    open++;
    silent.add(new ClientLink(this, socket));
  }
}
