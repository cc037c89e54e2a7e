package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.Ticks;
import saltlatch.state.ClientRequest;
import saltlatch.state.InFlightRequests;
import saltlatch.state.MemoryBudget;
import saltlatch.state.NodeMemory;
import saltlatch.state.NodeMetrics;
import saltlatch.state.RequestContext;
import saltlatch.state.RequestContext.ResponseSink;
import saltlatch.wire.transport.InputTurns;
import saltlatch.wire.transport.ManualScheduler;

/**
 * Runs a listener on real connections with a manual clock, which counts ticks of 0.1 ms. The test
 * thread acts as the clients, and a script responds to their requests.
 */
@Timeout(60)
abstract class ClientListenerHarness {
  static final String PING = "*1\r\n$4\r\nPING\r\n";
  static final String QUERY = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n"
      + "$2\r\n10\r\n$19\r\nc=read,t=plan,d=900\r\n";
  static final int MAX_CONNECTIONS = 4;
  static final int INCOMPLETE_COMMAND_BYTES = 100 << 10; // one command of 64 KiB, not two
  static final int UNSENT_REPLY_BYTES = 500 << 10; // seven replies of 64 KiB, not eight
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;
  static final byte[] LONG_VALUE = new byte[64 << 10];
  static final int LONG_REPLY_BYTES = "$65536\r\n".length() + LONG_VALUE.length + 2;
  static final String REJECTED = "-BUSY\r\n";
  static final String INFO_TEXT = "reqs=1\nheld=0\n";

  final NodeMemory memory = new NodeMemory(new MemoryBudget(INCOMPLETE_COMMAND_BYTES),
      new MemoryBudget(1 << 20), new MemoryBudget(0), new MemoryBudget(UNSENT_REPLY_BYTES));
  final InFlightRequests requests = new InFlightRequests(memory.requests());
  final List<Socket> sockets = new ArrayList<>();
  final List<RequestContext> arrived = new ArrayList<>(); // after holdRequests()
  BiFunction<ClientRequest, ResponseSink, RequestContext> onRequest = requests::register;
  Vertx vertx;
  ManualScheduler scheduler;
  ClientListener listener;
  NodeMetrics metrics;

  @BeforeEach
  void start() throws Exception {
    // the transport that the node uses: with it alone, closes are seen while reading is stopped
    vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(true));
    scheduler = new ManualScheduler(vertx.getOrCreateContext());
    metrics = new NodeMetrics();
    listener = new ClientListener(vertx, scheduler, new ScriptedHandler(), metrics, MAX_CONNECTIONS,
        memory, new InputTurns(scheduler));
    scheduler.runOnLoop(() -> listener.markReady());
    List<Future<?>> listening = new ArrayList<>();
    scheduler.runOnLoop(
        () -> listening.add(listener.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))));
    ManualScheduler.await(listening.get(0));
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) socket.close();
    ManualScheduler.await(vertx.close());
  }

  /** Passes each request to {@link #onRequest}, and fails requests that the listener aborts. */
  final class ScriptedHandler implements ClientListener.Handler {
    @Override
    public RequestContext requestArrived(ClientRequest request, ResponseSink client) {
      return onRequest.apply(request, client);
    }

    @Override
    public void clientDisconnected(RequestContext request) {}

    @Override
    public void abort(RequestContext request) {
      request.fail();
    }

    @Override
    public String infoText() {
      return INFO_TEXT;
    }
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    socket.setSoTimeout(20_000);
    sockets.add(socket);
    return socket;
  }

  /** Connects a client whose system takes few bytes that the client has not read. */
  Socket connectWithSmallReceiveBuffer() throws Exception {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    socket.setSoTimeout(20_000);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port()));
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String receive(Socket socket, int length) throws IOException {
    byte[] bytes = socket.getInputStream().readNBytes(length);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Asserts that the connection ends in order, and that nothing more comes. */
  void assertEnds(Socket socket) throws Exception {
    assertEquals("", receiveToEnd(socket));
  }

  /**
   * Returns what comes until the connection ends in order. Advances the clock meanwhile, since a
   * close waits until the system of the client has confirmed its replies.
   */
  String receiveToEnd(Socket socket) throws Exception {
    StringBuilder text = new StringBuilder();
    socket.setSoTimeout(1);
    while (true) {
      try {
        int next = socket.getInputStream().read();
        if (next < 0) return text.toString();
        text.append((char) next);
      } catch (SocketTimeoutException e) {
        scheduler.advance(Ticks.PER_MILLISECOND);
      }
    }
  }

  /**
   * Asserts the complete reply to one command. A PING is sent after the command; if its reply
   * directly follows the expected bytes, the listener wrote no other bytes for the command.
   */
  void assertReply(String expected, String command) throws IOException {
    Socket socket = connect();
    send(socket, command + PING);
    assertEquals(expected + "+PONG\r\n", receive(socket, expected.length() + 7));
    socket.close();
  }

  /**
   * Asserts everything that the listener writes in response to {@code bytes} until it closes the
   * connection.
   */
  void assertLastReply(String expected, String bytes) throws Exception {
    Socket socket = connect();
    send(socket, bytes);
    assertEquals(expected, receiveToEnd(socket));
    socket.close();
  }

  /** Keeps all requests without a response; the test sets their responses on the loop. */
  void holdRequests() {
    onRequest = (request, client) -> {
      RequestContext context = requests.register(request, client);
      arrived.add(context);
      return context;
    };
  }

  void respondWith(Consumer<ResponseSink> response) {
    onRequest = (request, client) -> {
      response.accept(client);
      return null;
    };
  }

  void awaitInFlight(int count) throws Exception {
    scheduler.awaitOnLoop(() -> requests.size() == count);
  }

  /** Connects, and waits for the reply to a PING, which shows that the listener has accepted. */
  Socket connectAndPing() throws IOException {
    Socket socket = connect();
    ping(socket);
    return socket;
  }

  static void ping(Socket socket) throws IOException {
    send(socket, PING);
    assertEquals("+PONG\r\n", receive(socket, 7));
  }
}
