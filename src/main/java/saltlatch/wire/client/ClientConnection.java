package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.appserver.AppServerReply;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.SocketCloser;
import saltlatch.wire.transport.UnreadAge;

/**
 * One client's connection. Commands are handed on as they come; answers go out in the order of the
 * commands.
 */
final class ClientConnection {
  // commands without answer on a connection before reading stops: 4 MB of answers
  private static final int MOST_OWED = 64;
  // 0.2 s: a client's end that crosses this side's has come by then
  private static final long LINGER = 2_000;
  // 2 s: a client that has not taken its answers by then takes none
  private static final long UNTAKEN = 20_000;
  // of what crosses: two of the longest commands
  private static final int LINGER_BYTES = 128 * 1024;

  /** The place of one command's answer in the order. */
  private final class PendingReply implements RequestContext.ResponseSink {
    private RequestContext x;
    private Buffer answer;

    @Override
    public void succeed(byte[] value) {
      listener.counters().add(Metric.RESPONSES_SUCCEEDED);
      fill(AppServerReply.passed(value));
    }

    @Override
    public void reject(long pauseMs) {
      listener.counters().add(Metric.RESPONSES_REJECTED);
      fill(AppServerReply.line(pauseMs > 0 ? "-BUSY " + pauseMs : "-BUSY"));
    }

    @Override
    public void fail() {
      listener.counters().add(Metric.RESPONSES_FAILED);
      fill(AppServerReply.line("-ERR aborted"));
    }

    /** Its req is held and has no final answer yet. */
    private boolean waits() {
      return x != null && answer == null;
    }

    @Override
    public long unreadTicks() {
      return UnreadAge.ofSocketTicks(socket);
    }

    private void fill(Buffer text) {
      answer = text;
      flush();
    }
  }

  private final ClientListener listener;
  private final NetSocket socket;
  private final RespDecoder in = new RespDecoder();
  private final ArrayDeque<PendingReply> owed = new ArrayDeque<>();
  private boolean broken; // its framing is lost: nothing more is read
  private boolean closed;
  private boolean reading; // what came is being taken, command by command
  private boolean spoke;
  private int crossed; // bytes that came after this side's end
  private long usedAt; // acceptance, the last whole command, or the first byte of the next one

  ClientConnection(ClientListener listener, NetSocket socket) {
    this.listener = listener;
    this.socket = socket;
    usedAt = listener.scheduler().now();
    socket.handler(this::read);
    socket.exceptionHandler(e -> listener.counters().add(Metric.CLIENT_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> ended());
    socket.drainHandler(v -> resume());
  }

  boolean owesNothing() {
    return owed.isEmpty();
  }

  long usedAt() {
    return usedAt;
  }

  /**
   * At once: whatever is unread makes the system reset the connection, and the client sends that
   * again elsewhere.
   */
  void close() {
    closed = true;
    listener.gone(this);
    SocketCloser.closeNow(socket);
  }

  /**
   * Ends this side only, and waits within bounds for the client's end. Guards against a close over
   * unread bytes, with which the system resets the connection and the answers just written go. What
   * crosses stays unread, so that its client knows that it was not taken; behind broken framing it
   * is read and thrown away, since a client in the middle of it would not look up.
   */
  private void linger() {
    closed = true;
    listener.lingers(this);
    endsWithin(listener.isRefusing() ? LINGER : UNTAKEN);
    socket.handler(more -> {
      crossed += more.length();
      if (crossed > LINGER_BYTES) SocketCloser.closeNow(socket);
    });
    takeWhatCrosses();
    socket.write(Buffer.buffer()).onComplete(v -> { // behind the answers
      takeWhatCrosses(); // once more: behind what was pending the library reads again
      SocketCloser.shutdownOutput(socket);
      endsWithin(LINGER);
    });
  }

  private void takeWhatCrosses() {
    if (broken) socket.resume();
    else SocketCloser.stopReading(socket);
  }

  private void endsWithin(long time) {
    listener.scheduler().at(listener.scheduler().now() + time, () -> SocketCloser.closeNow(socket));
  }

  /** Ends it if it has sent no whole command, or half of one, since long before. */
  void closeIfMute(long since) {
    if (closed || usedAt > since || !owed.isEmpty() || spoke && in.isEmpty()) return;
    listener.counters().add(Metric.CLIENT_CONNECTIONS_SILENT);
    broken = true;
    if (in.isEmpty()) close();
    else say("-ERR command incomplete");
  }

  void closeIfDone() {
    if (!closed && owed.isEmpty()) linger();
  }

  void abandon() {
    List.copyOf(owed).stream().filter(PendingReply::waits)
        .forEach(pendingReply -> listener.host().abandon(pendingReply.x));
  }

  private void read(Buffer more) {
    if (broken || closed) return;
    if (in.isEmpty()) usedAt = listener.scheduler().now();
    in.feed(more);
    reading = true;
    try {
      for (RespValue command = in.next(); command != null; command = in.next()) {
        usedAt = listener.scheduler().now();
        spoke = true;
        listener.spoke(this);
        take(command);
      }
    } catch (RespDecoder.RespFramingException e) {
      listener.counters().add(Metric.COMMANDS_LOST_FRAMING);
      broken = true;
      say("-ERR Protocol error: " + e.getMessage());
    }
    reading = false;
    if (broken || owed.size() >= MOST_OWED) socket.pause();
    endIfDue();
  }

  private void take(RespValue command) throws RespDecoder.RespFramingException {
    if (!(command instanceof RespValue.Array m))
      throw new RespDecoder.RespFramingException("a command is an array");
    List<RespValue> words = m.elements() == null ? List.of() : m.elements();
    String verb = !words.isEmpty() && words.get(0) instanceof RespValue.Bulk b ? b.text() : "";
    if (verb.startsWith("SVC.")) {
      serve(ClientRequest.of(words));
    } else if (verb.equalsIgnoreCase("PING")) {
      say(listener.isReady() ? "+PONG" : "-ERR not ready");
    } else if (verb.equalsIgnoreCase("INFO")) {
      pendingReply().fill(
          AppServerReply.passed(listener.host().figures().getBytes(StandardCharsets.ISO_8859_1)));
    } else {
      listener.counters().add(Metric.COMMANDS_UNKNOWN);
      say("-ERR unknown command");
    }
  }

  private void serve(ClientRequest req) {
    if (req == null) {
      listener.counters().add(Metric.COMMANDS_MALFORMED);
      say("-ERR malformed command");
      return;
    }
    PendingReply pendingReply = pendingReply();
    if (listener.isRefusing()) pendingReply.reject(0);
    else pendingReply.x = listener.host().arrived(req, pendingReply);
  }

  private PendingReply pendingReply() {
    PendingReply pendingReply = new PendingReply();
    owed.add(pendingReply);
    return pendingReply;
  }

  private void say(String line) {
    pendingReply().fill(AppServerReply.line(line));
  }

  private void flush() {
    if (closed) return;
    while (!owed.isEmpty() && owed.peek().answer != null) socket.write(owed.poll().answer);
    resume();
    endIfDue();
  }

  /**
   * Guards, while this node ends, against commands that were read with the one just answered: they
   * get their answers too.
   */
  private void endIfDue() {
    if (closed || reading || !owed.isEmpty()) return;
    if (broken || listener.isClosing() && in.isEmpty()) linger();
  }

  private void resume() {
    if (closed) return;
    if (!broken && owed.size() < MOST_OWED && !socket.writeQueueFull()) socket.resume();
    else if (socket.writeQueueFull()) socket.pause();
  }

  private void ended() {
    closed = true;
    listener.ended(this);
    for (PendingReply pendingReply : owed) {
      if (pendingReply.waits()) listener.host().left(pendingReply.x);
    }
    owed.clear();
  }
}
