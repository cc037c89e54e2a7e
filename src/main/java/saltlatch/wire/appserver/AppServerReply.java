package saltlatch.wire.appserver;

import java.util.List;
import saltlatch.wire.resp.NamedNumbers;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;

/**
 * The result of an attempt or a health check at an app server, with the contents of its reply. This
 * is the only class that contains the protocol's words of app servers' replies. Immutable as long
 * as no caller modifies the value's bytes; compared by identity.
 */
public final class AppServerReply {
  private static final String ACTUAL_UNITS = "cost";
  private static final String FLEET_UTILIZATION = "used";
  private static final String BUSY = "BUSY";
  private static final String ERROR = "ERR";

  private static final int VALUE_ELEMENT = 0;
  private static final int USAGE_ELEMENT = 1;
  private static final int LOAD_ELEMENT = 2;

  private final CallResult result;
  private final byte[] value;
  private final double actualUnits;
  private final double fleetUtilization;
  private final String loadReport;

  private AppServerReply(CallResult result, byte[] value, double actualUnits,
      double fleetUtilization, String loadReport) {
    this.result = result;
    this.value = value;
    this.actualUnits = actualUnits;
    this.fleetUtilization = fleetUtilization;
    this.loadReport = loadReport;
  }

  /**
   * Decodes the reply to an attempt: an array that begins with the value, or an error line. Accepts
   * only the protocol's two error words, matched completely. Guards against treating garbage as an
   * error reply, in particular as {@code BUSY}, which means that the request was not executed.
   */
  static AppServerReply ofAttempt(RespValue reply) {
    if (reply instanceof RespValue.Discarded)
      return withoutValue(CallResult.REPLY_OVER_MEMORY_LIMIT);
    if (reply instanceof RespValue.Array array && array.elements() != null
        && !array.elements().isEmpty()
        && array.elements().get(VALUE_ELEMENT) instanceof RespValue.Bulk value
        && value.bytes() != null) {
      return answered(value.bytes(), array.elements());
    }
    if (reply instanceof RespValue.Line line && line.type() == '-') return ofErrorLine(line.text());
    return withoutValue(CallResult.MALFORMED_REPLY);
  }

  private static AppServerReply answered(byte[] value, List<RespValue> elements) {
    String usage = text(elements, USAGE_ELEMENT);
    return new AppServerReply(CallResult.ANSWERED, value, NamedNumbers.find(usage, ACTUAL_UNITS),
        NamedNumbers.find(usage, FLEET_UTILIZATION), text(elements, LOAD_ELEMENT));
  }

  private static AppServerReply ofErrorLine(String text) {
    return switch (text.split(" ", 2)[0]) {
      case BUSY -> ofError(CallResult.BUSY_REPLY, text);
      case ERROR -> ofError(CallResult.ERROR_REPLY, text);
      default -> withoutValue(CallResult.MALFORMED_REPLY);
    };
  }

  private static AppServerReply ofError(CallResult result, String text) {
    return new AppServerReply(result, null, 0, 0, trailingLoadReport(text));
  }

  /** Returns the load report at the end of an error line, which contains {@code =}; else "". */
  private static String trailingLoadReport(String text) {
    int space = text.lastIndexOf(' ');
    return space >= 0 && text.indexOf('=', space) > 0 ? text.substring(space + 1) : "";
  }

  /** Decodes the reply to a health check: the load report as a bulk string, or an error line. */
  static AppServerReply ofHealthCheck(RespValue reply) {
    if (!(reply instanceof RespValue.Bulk report) || report.bytes() == null)
      return ofAttempt(reply);
    return new AppServerReply(CallResult.ANSWERED, report.bytes(), 0, 0, report.text());
  }

  /** Returns the result of a call without a reply, or whose reply contains no further data. */
  public static AppServerReply withoutValue(CallResult result) {
    return new AppServerReply(result, null, 0, 0, "");
  }

  private static String text(List<RespValue> elements, int position) {
    return elements.size() > position && elements.get(position) instanceof RespValue.Bulk bulk
        ? bulk.text() : "";
  }

  /** Returns how the call ended. */
  public CallResult result() {
    return result;
  }

  /** Returns the value for the client; null unless {@link CallResult#ANSWERED}. */
  public byte[] value() {
    return value;
  }

  /** Returns the units of the quota that the request used; 0 if not reported. */
  public double actualUnits() {
    return actualUnits;
  }

  /**
   * Returns 1 plus the customer's usage on all nodes in the previous metered period, as a
   * percentage of its rate; 0 if not reported.
   */
  public double fleetUtilization() {
    return fleetUtilization;
  }

  /** Returns the load report, in the format of {@link NamedNumbers}; empty if there is none. */
  public String loadReport() {
    return loadReport;
  }
}
