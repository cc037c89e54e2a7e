package saltlatch.wire.appserver;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import saltlatch.state.ClientRequest;
import saltlatch.wire.resp.RespEncoder;

/** Encodes the commands that are sent to app servers. Has no state. */
final class AppServerCommandEncoder {
  /** Space for the array header and for the lengths and line ends of five words. */
  private static final int FRAMING_BYTES = 160;
  private static final int WORDS_WITHOUT_BODY = 4;
  private static final int WORDS_WITH_BODY = 5;
  private static final long MIN_TIME_LEFT_MS = 1;

  private AppServerCommandEncoder() {}

  /**
   * Encodes a client's command unchanged, except that the client's timeout is replaced by the time
   * for which this node still waits. A time below 1 ms is sent as 1 ms, because an app server could
   * interpret 0 as no limit.
   */
  static Buffer forward(ClientRequest.Command command, long timeLeftMs) {
    byte[] timeLeft = Long.toString(Math.max(MIN_TIME_LEFT_MS, timeLeftMs))
        .getBytes(StandardCharsets.ISO_8859_1);
    byte[] termsBeforeTimeout = command.parametersBeforeTimeout();
    byte[] termsAfterTimeout = command.parametersAfterTimeout();
    Buffer out = Buffer.buffer(FRAMING_BYTES + command.sizeBytes());
    RespEncoder.appendArrayHeader(out,
        command.body() == null ? WORDS_WITHOUT_BODY : WORDS_WITH_BODY);
    RespEncoder.appendBulk(out, command.verb());
    RespEncoder.appendBulk(out, command.customer());
    RespEncoder.appendBulk(out, command.id());
    RespEncoder.appendBulk(out, termsBeforeTimeout, timeLeft, termsAfterTimeout);
    if (command.body() != null) RespEncoder.appendBulk(out, command.body());
    return out;
  }

  /** Encodes the command INFO load, which returns the load report without executing a request. */
  static Buffer healthCheck() {
    return Buffer.buffer("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
  }
}
