package saltlatch.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Exchange;

/** The server side: clients' connections, their commands in and the answers out. */
public final class Door {
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

  private final Host host;
  private final Counters counters;
  private final NetServer server;
  private final int mostLinks;
  private final Set<ClientLink> open = new LinkedHashSet<>();
  private boolean ready;
  private boolean closing;
  private boolean refusing;

  public Door(Vertx vertx, Host host, Counters counters, int mostLinks) {
    this.host = host;
    this.counters = counters;
    this.mostLinks = mostLinks;
    server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true)
        .setAcceptBacklog(Math.max(64, mostLinks)));
    server.connectHandler(this::accept);
    server.exceptionHandler(e -> counters.add(Count.CLIENTS_BROKEN));
  }

  public Future<?> open(SocketAddress at) {
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
    new ArrayList<>(open).forEach(ClientLink::abandon);
  }

  public void closeIdle() {
    new ArrayList<>(open).forEach(ClientLink::closeIfDone);
  }

  /** Clients' connections that are open. */
  public int links() {
    return open.size();
  }

  boolean isReady() {
    return ready;
  }

  boolean isClosing() {
    return closing;
  }

  boolean isRefusing() {
    return refusing;
  }

  Host host() {
    return host;
  }

  Counters counters() {
    return counters;
  }

  void gone(ClientLink link) {
    open.remove(link);
  }

  private void accept(NetSocket socket) {
    counters.add(Count.CLIENTS_ACCEPTED);
    if (open.size() >= mostLinks) {
      counters.add(Count.CLIENTS_OVER_LIMIT);
      // The oldest one on which nothing is owed makes room: its client sends on a new connection.
      ClientLink idle = open.stream().filter(ClientLink::owesNothing).findFirst().orElse(null);
      if (idle == null) {
        socket.close();
        return;
      }
      idle.close();
    }
    open.add(new ClientLink(this, socket));
  }
}
