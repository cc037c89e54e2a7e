package saltlatch.wire.appserver;

import java.util.List;
import saltlatch.wire.resp.DecimalFormat;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;

/** What an app srv answered, decoded once; {@code value} only with {@link CallResult#ANSWERED}. */
public record AppServerReply(CallResult result, byte[] value, double actualUnits,
    double fleetUtilization, String loadReport) {

  private static final double MOST = 1e9; // units: the most that a count can be told

  public static AppServerReply of(RespValue resp) {
    if (resp instanceof RespValue.Array m && m.elements() != null && !m.elements().isEmpty()
        && m.elements().get(0) instanceof RespValue.Bulk b && b.bytes() != null) {
      String use = text(m.elements(), 1);
      return new AppServerReply(CallResult.ANSWERED, b.bytes(), field(use, "cost"),
          field(use, "used"), text(m.elements(), 2));
    }
    if (resp instanceof RespValue.Line l && l.type() == '-') {
      int last = l.text().lastIndexOf(' ');
      String load = last >= 0 && l.text().indexOf('=', last) > 0 ? l.text().substring(last + 1)
          : "";
      // Guards against noise that is taken for a word of the app srv's: BUSY says that the req
      // never ran.
      String word = l.text().split(" ", 2)[0];
      if (word.equals("BUSY") || word.equals("ERR")) {
        return new AppServerReply(
            word.equals("BUSY") ? CallResult.BUSY_ANSWER : CallResult.ERROR_ANSWER, null, 0, 0,
            load);
      }
    }
    return withoutValue(CallResult.SPOILT_ANSWER);
  }

  /** The answer to a probe: the load as a bulk string. */
  static AppServerReply ofHealthCheck(RespValue resp) {
    if (!(resp instanceof RespValue.Bulk b) || b.bytes() == null) return of(resp);
    return new AppServerReply(CallResult.ANSWERED, b.bytes(), 0, 0, b.text());
  }

  public static AppServerReply withoutValue(CallResult ending) {
    return new AppServerReply(ending, null, 0, 0, "");
  }

  /**
   * A field of a list of names and values; 0 if it is not there or can't be a figure, which tells
   * nothing.
   */
  public static double field(String list, String name) {
    for (String part : list.isEmpty() ? new String[0] : list.split(",")) {
      if (part.startsWith(name) && part.length() > name.length()
          && part.charAt(name.length()) == '=') {
        double value = DecimalFormat.parse(part.substring(name.length() + 1));
        return value >= 0 && value < MOST ? value : 0;
      }
    }
    return 0;
  }

  private static String text(List<RespValue> items, int at) {
    return items.size() > at && items.get(at) instanceof RespValue.Bulk b ? b.text() : "";
  }
}
