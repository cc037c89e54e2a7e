package saltlatch.node;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.VertxBuilder;
import io.vertx.core.impl.transports.EpollTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * A transport that accepts connections on the node's only event loop. By default a separate thread
 * accepts connections, also while the event loop is busy. It could use up all file descriptors
 * before the node applies its limit of client connections, and the node could no longer connect to
 * app servers, the counter or discovery.
 */
final class SingleLoopTransport implements Transport {
  private static final class SharedLoopEpoll extends EpollTransport {
    private EventLoopGroup loop;

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory,
        int ioRatio) {
      if (loop == null) loop = super.eventLoopGroup(IO_EVENT_LOOP_GROUP, 1, factory, ioRatio);
      return loop;
    }
  }

  private final SharedLoopEpoll epoll = new SharedLoopEpoll();

  private SingleLoopTransport() {}

  /** Configures this transport if epoll is available; otherwise Vert.x selects the transport. */
  static VertxBuilder applyTo(VertxBuilder builder) {
    SingleLoopTransport transport = new SingleLoopTransport();
    return transport.available() ? builder.withTransport(transport) : builder;
  }

  @Override
  public String name() {
    return "epoll";
  }

  @Override
  public boolean available() {
    return epoll.isAvailable();
  }

  @Override
  public Throwable unavailabilityCause() {
    return epoll.unavailabilityCause();
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return epoll;
  }
}
