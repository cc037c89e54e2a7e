package saltlatch.wire.appserver;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import saltlatch.state.ClientRequest;
import saltlatch.wire.resp.RespEncoder;

/** Encodes the commands that an app server gets. Has no state. */
final class AppServerCommandEncoder {
  /** For the lengths of five words and the line that gives their number. */
  private static final int FRAMING_BYTES = 160;
  private static final int WORDS_WITHOUT_BODY = 4;
  private static final int WORDS_WITH_BODY = 5;
  private static final long MIN_TIME_LEFT_MS = 1;

  private AppServerCommandEncoder() {}

  /**
   * A client's command as it came, but with the time that this node goes on waiting in place of the
   * client's timeout. Less than 1 ms is given as 1 ms: 0 could be taken for no limit.
   */
  static Buffer forward(ClientRequest.Command command, long timeLeftMs) {
    byte[] timeLeft = Long.toString(Math.max(MIN_TIME_LEFT_MS, timeLeftMs))
        .getBytes(StandardCharsets.ISO_8859_1);
    byte[] before = command.parametersBeforeTimeout();
    byte[] after = command.parametersAfterTimeout();
    Buffer out = Buffer.buffer(FRAMING_BYTES + command.sizeBytes());
    RespEncoder.appendArrayHeader(out,
        command.body() == null ? WORDS_WITHOUT_BODY : WORDS_WITH_BODY);
    RespEncoder.appendBulk(out, command.verb());
    RespEncoder.appendBulk(out, command.customer());
    RespEncoder.appendBulk(out, command.id());
    RespEncoder.appendBulk(out, before, timeLeft, after);
    if (command.body() != null) RespEncoder.appendBulk(out, command.body());
    return out;
  }

  /** Asks for the load report, at no cost to the app server's requests. */
  static Buffer healthCheck() {
    return Buffer.buffer("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
  }
}
