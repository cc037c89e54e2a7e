package saltlatch.wire.appserver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import saltlatch.wire.ProtocolException;
import saltlatch.wire.resp.NamedNumbers;
import saltlatch.wire.resp.RespText;

/** Tests decoding of app servers' replies, including malformed ones. */
class AppServerReplyTest {
  @Test
  void decodesValidAndMalformedReplies() throws ProtocolException {
    StringBuilder decoded = new StringBuilder();
    for (String text : new String[] {"*3\r\n$2\r\nok\r\n$-1\r\n$22\r\ninflight=7,util=0.61,q\r\n",
        "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", "-ERR failed inflight=7\r\n", "-ERR failed\r\n",
        "-BUSY\r\n", "+OK\r\n", "$-1\r\n", "*0\r\n", "-BUSYX\r\n",
        "*3\r\n$2\r\nok\r\n$9\r\ncost=-1e9\r\n$23\r\ninflight=NaN,util=1e999\r\n"}) {
      AppServerReply reply = AppServerReply.ofAttempt(RespText.decode(text));
      decoded.append(reply.result().outcome()).append(' ')
          .append(
              reply.value() == null ? "-" : new String(reply.value(), StandardCharsets.ISO_8859_1))
          .append(' ').append(NamedNumbers.find(reply.loadReport(), "inflight")).append(' ')
          .append(NamedNumbers.find(reply.loadReport(), "util")).append('\n');
    }
    assertEquals("""
        SUCCEEDED ok 7.0 0.61
        SUCCEEDED ok 0.0 0.0
        SERVER_ERROR - 7.0 0.0
        SERVER_ERROR - 0.0 0.0
        SERVER_BUSY - 0.0 0.0
        CONNECTION_LOST - 0.0 0.0
        CONNECTION_LOST - 0.0 0.0
        CONNECTION_LOST - 0.0 0.0
        CONNECTION_LOST - 0.0 0.0
        SUCCEEDED ok 0.0 0.0
        """, decoded.toString());
  }

  /** The units used by the request are decoded separately from the load report. */
  @Test
  void decodesUsageAndLoadSeparately() throws ProtocolException {
    AppServerReply reply = AppServerReply.ofAttempt(
        RespText.decode("*3\r\n$2\r\nok\r\n$13\r\ncost=3,used=7\r\n$10\r\ninflight=7\r\n"));
    assertEquals("3.0 7.0 inflight=7",
        reply.actualUnits() + " " + reply.fleetUtilization() + " " + reply.loadReport());
  }
}
