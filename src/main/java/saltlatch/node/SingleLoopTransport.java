package saltlatch.node;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.VertxBuilder;
import io.vertx.core.impl.transports.EpollTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Connections are accepted on the node's one event loop. Guards against a crowd that an accepting
 * thread of its own takes in while the loop is busy, up to every descriptor: nobody has decided yet
 * who may stay, and no partner can be connected to.
 */
final class SingleLoopTransport implements Transport {
  private static final class Epoll extends EpollTransport {
    private EventLoopGroup loop;

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory,
        int ioRatio) {
      if (loop == null) loop = super.eventLoopGroup(IO_EVENT_LOOP_GROUP, 1, factory, ioRatio);
      return loop;
    }
  }

  private final Epoll epoll = new Epoll();

  private SingleLoopTransport() {}

  /** Where the system has no epoll the library's own choice stays. */
  static VertxBuilder of(VertxBuilder builder) {
    SingleLoopTransport one = new SingleLoopTransport();
    return one.available() ? builder.withTransport(one) : builder;
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
