package saltlatch.node;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.VertxBuilder;
import io.vertx.core.impl.transports.EpollTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Has connections accepted on the node's one event loop. Guards against an accepting thread of its
 * own that takes in connections while the event loop is busy, up to the last descriptor: it shows
 * as a node that can't connect to any partner, while nobody has decided yet which clients stay.
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

  /** Sets it where the system has epoll; elsewhere the library's own choice stays. */
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
