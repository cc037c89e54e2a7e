package saltlatch.wire;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** What an app srv answered, decoded once; {@code value} only with {@link Ending#ANSWERED}. */
public record Answer(Ending ending, byte[] value, double actual, double fleetUse, String load) {

  private static final double MOST = 1e9; // units: the most that a count can be told

  static Answer of(Resp resp) {
    if (resp instanceof Resp.Many m && m.items() != null && !m.items().isEmpty()
        && m.items().get(0) instanceof Resp.Bulk b && b.bytes() != null) {
      String use = text(m.items(), 1);
      return new Answer(Ending.ANSWERED, b.bytes(), field(use, "cost"), field(use, "used"),
          text(m.items(), 2));
    }
    if (resp instanceof Resp.Line l && l.type() == '-') {
      int last = l.text().lastIndexOf(' ');
      String load = last >= 0 && l.text().indexOf('=', last) > 0 ? l.text().substring(last + 1) : "";
      // Guards against noise that is taken for a word of the app srv's: BUSY says that the req never ran.
      String word = l.text().split(" ", 2)[0];
      if (word.equals("BUSY") || word.equals("ERR")) {
        return new Answer(word.equals("BUSY") ? Ending.BUSY_ANSWER : Ending.ERROR_ANSWER, null, 0, 0, load);
      }
    }
    return none(Ending.SPOILT_ANSWER);
  }

  /** The answer to a probe: the load as a bulk string. */
  static Answer ofProbe(Resp resp) {
    if (!(resp instanceof Resp.Bulk b) || b.bytes() == null) return of(resp);
    return new Answer(Ending.ANSWERED, b.bytes(), 0, 0, b.text());
  }

  public static Answer none(Ending ending) {
    return new Answer(ending, null, 0, 0, "");
  }

  /** A field of a list of names and values; 0 if it is not there or can't be a figure, which tells nothing. */
  public static double field(String list, String name) {
    for (String part : list.isEmpty() ? new String[0] : list.split(",")) {
      if (part.startsWith(name) && part.length() > name.length() && part.charAt(name.length()) == '=') {
        double value = Decimal.of(part.substring(name.length() + 1));
        return value >= 0 && value < MOST ? value : 0;
      }
    }
    return 0;
  }

  private static String text(List<Resp> items, int at) {
    return items.size() > at && items.get(at) instanceof Resp.Bulk b ? b.text() : "";
  }

  static Buffer passed(byte[] value) {
    Buffer out = Buffer.buffer(value.length + 16);
    Resp.bulk(out, value);
    return out;
  }

  static Buffer line(String text) {
    return Buffer.buffer((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }
}
