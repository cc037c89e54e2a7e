package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/**
 * Closes on real connections whose other side does not take what is written, or writes in that very
 * moment.
 */
@Timeout(60)
class ConnectionCloseTest extends NodeHarness {
  private static final String LONG = "x".repeat(60_000);

  private static String submit(int id) {
    return queryCommand(id).replace("*4", "*5") + "$60000\r\n" + LONG + "\r\n";
  }

  /**
   * A command given up while half of it is written never comes whole: it was told as never begun.
   */
  @Test
  void givenUpHalfWritten() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 5_000);
      if (e instanceof GatewayEvent.AttemptEnded d && !d.requestFinished())
        actions.fail(d.requestId());
    };
    int port = appServer.getLocalPort();
    appServer.close();
    try (Narrow srv = new Narrow(port)) {
      Socket c = connectClient();
      send(c, submit(0));
      assertEquals("arrived 0 waits 900", nextEventText());
      assertEquals("ended 0/0 CONNECT_FAILED", nextEventText());
      assertEquals("-ERR aborted", readLine(c));
      int got = srv.readToEnd();
      assertTrue(got < 60_000, got + " bytes");
    }
  }

  /**
   * Commands read in one piece while this node ends: a first answer at once does not end the
   * connection in front of the rest.
   */
  @Test
  void commandsBehindOneAnsweredAtOnce() throws Exception {
    eventHandler = e -> actions.reject(requestIdOf(e), 0);
    Socket c = connectClient();
    Socket idle = connectClient();
    send(idle, queryCommand(9));
    assertEquals("-BUSY", readLine(idle));
    var done = node.stop().toCompletionStage().toCompletableFuture();
    String ping = "*1\r\n$4\r\nPING\r\n";
    int asked = 0;
    for (String got = "+PONG"; !got.equals("closed"); asked++) {
      send(c, ping + queryCommand(2 * asked) + ping + queryCommand(2 * asked + 1));
      got = readLine(c);
      if (!got.equals("closed"))
        assertEquals("+PONG -BUSY +PONG -BUSY", got + " " + readLines(c, 3));
    }
    assertTrue(asked > 1);
    done.get();
    stopped = true;
  }

  /**
   * An app srv that reads nothing until asked, with segments so short that the node's system holds
   * few bytes.
   */
  private static final class Narrow implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1,
        EpollIoHandler.newFactory());
    private final AtomicInteger read = new AtomicInteger();
    private final CompletableFuture<Channel> peer = new CompletableFuture<>();
    private final CompletableFuture<Void> over = new CompletableFuture<>();

    Narrow(int port) throws InterruptedException {
      new ServerBootstrap().group(loop).channel(EpollServerSocketChannel.class)
          .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_RCVBUF, 2_048)
          .option(new IntegerUnixChannelOption("TCP_MAXSEG", 6, 2), 128)
          .childOption(ChannelOption.AUTO_READ, false)
          .childHandler(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext at) {
              peer.complete(at.channel());
            }

            @Override
            public void channelRead(ChannelHandlerContext at, Object bytes) {
              read.addAndGet(((ByteBuf) bytes).readableBytes());
              ((ByteBuf) bytes).release();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext at, Throwable e) {
              var unused = at.close();
            }

            @Override
            public void channelInactive(ChannelHandlerContext at) {
              over.complete(null);
            }
          }).bind("127.0.0.1", port).sync();
    }

    int readToEnd() throws Exception {
      peer.get(20, TimeUnit.SECONDS).config().setAutoRead(true);
      over.get(20, TimeUnit.SECONDS);
      return read.get();
    }

    @Override
    public void close() {
      var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** A client that takes no answers keeps neither a descriptor nor the end of this node. */
  @Test
  void clientThatReadsNothing() throws Exception {
    try (SocketChannel c = SocketChannel
        .open(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()))) {
      c.configureBlocking(false);
      ByteBuffer many = ByteBuffer
          .wrap("*1\r\n$4\r\nINFO\r\n".repeat(2_000_000).getBytes(StandardCharsets.ISO_8859_1));
      long since = System.nanoTime();
      while (many.hasRemaining() && System.nanoTime() - since < 1_000_000_000L) {
        if (c.write(many) > 0) since = System.nanoTime();
      }
      assertTrue(many.hasRemaining()); // the node reads no more
      node.stop().toCompletionStage().toCompletableFuture().get(4, TimeUnit.SECONDS);
      stopped = true;
    }
  }
}
