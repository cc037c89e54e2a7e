package saltlatch.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.state.ClientRequest;
import saltlatch.wire.appserver.AppServerReply;
import saltlatch.wire.resp.DecimalFormat;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;

/** Bytes to typed values and back. */
class WireTest {
  private static String command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String w : words)
      out.append('$').append(w.length()).append("\r\n").append(w).append("\r\n");
    return out.toString();
  }

  private static List<RespValue> words(String... words) throws RespDecoder.RespFramingException {
    RespDecoder in = new RespDecoder();
    in.feed(Buffer.buffer(command(words)));
    return ((RespValue.Array) in.next()).elements();
  }

  private static RespValue read(String text) throws RespDecoder.RespFramingException {
    RespDecoder in = new RespDecoder();
    in.feed(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    return in.next();
  }

  /** Every byte on its own, two messages behind one another. */
  @Test
  void messagesInPieces() throws RespDecoder.RespFramingException {
    RespDecoder in = new RespDecoder();
    StringBuilder seen = new StringBuilder();
    String text = "*3\r\n$2\r\nab\r\n$-1\r\n$4\r\nx=,y\r\n-BUSY\r\n";
    for (char c : text.toCharArray()) {
      in.feed(Buffer.buffer(String.valueOf(c)));
      RespValue resp = in.next();
      if (resp instanceof RespValue.Array m) {
        seen.append("array ");
        m.elements().forEach(i -> seen.append(((RespValue.Bulk) i).text()).append('|'));
      } else if (resp instanceof RespValue.Line l) {
        seen.append(' ').append(l.type()).append(l.text());
      }
    }
    assertEquals("array ab||x=,y| -BUSY", seen.toString());
    assertEquals(true, in.isEmpty());
  }

  @Test
  void lostFraming() {
    String[] lost = {"GET / HTTP/1.1\r\n", "$5\r\nabcdefg\r\n", "*99\r\n", "$65537\r\n", "$x\r\n",
        "*1\r\n*1\r\n*1\r\n", "+" + "x".repeat(1100)};
    for (String text : lost)
      assertThrows(RespDecoder.RespFramingException.class, () -> read(text), text);
  }

  /** Passed on as it came, but for the time that this node waits. */
  @Test
  void commandsPassedOn() throws RespDecoder.RespFramingException {
    String terms = "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,r=1,units=2.5,spread=3,first=1,new=x";
    ClientRequest r = ClientRequest
        .of(words("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", terms, "BODY"));
    assertEquals("3033945377 order team 480 2.5 3 1 true",
        r.customer + " " + r.requestClass + " " + r.plan + " " + r.clientTimeoutMs + " " + r.units
            + " " + r.nodeCount + " " + r.firstNode + " " + r.retry);
    assertEquals(command("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41",
        terms.replace("d=480", "d=97"), "BODY"), r.forward(97).toString());
    assertEquals(command("SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=a,t=b,d=1"),
        ClientRequest.of(words("SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", "c=a,t=b,d=9"))
            .forward(0).toString());
  }

  @Test
  void malformedCommands() throws RespDecoder.RespFramingException {
    String id = "9b1f03aa5c7e2d41";
    String[][] bad = {{"SVC.QUERY", "00000000b4d65521", id},
        {"SVC.OTHER", "00000000b4d65521", id, "c=a,t=b,d=1"},
        {"SVC.QUERY", "b4d65521", id, "c=a,t=b,d=1"},
        {"SVC.QUERY", "00000000b4d6552x", id, "c=a,t=b,d=1"},
        {"SVC.QUERY", "0000000200000000", id, "c=a,t=b,d=1"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=x"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,units=-1"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,units=NaN"},
        {"SVC.QUERY", "00000000b4d65521", id, "c"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,units=1,units=2"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=+1"},
        {"SVC.QUERY", "00000000b4d65521", "", "c=a,t=b,d=1"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,units=0"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,units=0x1p1"},
        {"SVC.QUERY", "00000000b4d65521", id, "c=a,t=b,d=1,spread=0"}};
    for (String[] words : bad)
      assertEquals(null, ClientRequest.of(words(words)), String.join(" ", words));
  }

  @Test
  void answers() throws RespDecoder.RespFramingException {
    StringBuilder seen = new StringBuilder();
    for (String text : new String[] {"*3\r\n$2\r\nok\r\n$-1\r\n$22\r\ninflight=7,util=0.61,q\r\n",
        "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", "-ERR failed inflight=7\r\n", "-ERR failed\r\n",
        "-BUSY\r\n", "+OK\r\n", "$-1\r\n", "*0\r\n", "-BUSYX\r\n",
        "*3\r\n$2\r\nok\r\n$9\r\ncost=-1e9\r\n$23\r\ninflight=NaN,util=1e999\r\n"}) {
      AppServerReply a = AppServerReply.of(read(text));
      seen.append(a.result().outcome()).append(' ')
          .append(a.value() == null ? "-" : new String(a.value())).append(' ')
          .append(AppServerReply.field(a.loadReport(), "inflight")).append(' ')
          .append(AppServerReply.field(a.loadReport(), "util")).append('\n');
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
        """, seen.toString());
  }

  /** What each way to end tells the module; only those that prove it may say that nothing ran. */
  @Test
  void endings() {
    StringBuilder seen = new StringBuilder();
    for (CallResult e : CallResult.values())
      seen.append(e).append(e.outcome().neverExecuted() ? " never ran\n" : " may have run\n");
    assertEquals("""
        ANSWERED may have run
        ERROR_ANSWER may have run
        SPOILT_ANSWER may have run
        BUSY_ANSWER never ran
        REFUSED_CALL never ran
        CONNECT_FAILED never ran
        BROKE_UNWRITTEN never ran
        BROKE_WRITTEN may have run
        TIMED_OUT_UNWRITTEN never ran
        TIMED_OUT may have run
        OWN_CANCEL may have run
        WITHDRAWN never ran
        NO_DESCRIPTOR never ran
        """, seen.toString());
  }

  @Test
  void amounts() {
    assertEquals("0 -2.5000 4 0.0001 1000000000 0",
        DecimalFormat.format(0) + " " + DecimalFormat.format(-2.5) + " " + DecimalFormat.format(4)
            + " " + DecimalFormat.format(1e-4) + " " + DecimalFormat.format(1e9) + " "
            + DecimalFormat.format(-1e-9));
  }
}
