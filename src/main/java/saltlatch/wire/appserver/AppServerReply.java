package saltlatch.wire.appserver;

import java.util.List;
import saltlatch.wire.resp.NamedNumbers;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;

/**
 * How an attempt or a health check at an app server ended, and what its reply said; decoded once,
 * and the only place that knows the words of app servers' replies. Immutable but for the value's
 * bytes, which nobody writes to; compared by identity.
 */
public final class AppServerReply {
  private static final String ACTUAL_UNITS = "cost";
  private static final String FLEET_UTILIZATION = "used";
  private static final String BUSY = "BUSY";
  private static final String ERROR = "ERR";

  private static final int VALUE_ELEMENT = 0;
  private static final int USE_ELEMENT = 1;
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
   * Decodes the reply to an attempt: an array that begins with the value, or an error line. Guards
   * against noise that is taken for an app server's word, {@code BUSY} above all, which says that
   * the request was not executed: only the two words of the protocol count, whole.
   */
  static AppServerReply ofAttempt(RespValue reply) {
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
    String use = text(elements, USE_ELEMENT);
    return new AppServerReply(CallResult.ANSWERED, value, NamedNumbers.find(use, ACTUAL_UNITS),
        NamedNumbers.find(use, FLEET_UTILIZATION), text(elements, LOAD_ELEMENT));
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

  /** An error line may end in a load report, known from the error's own words by its {@code =}. */
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

  /** An end with no reply, or with one that says nothing else. */
  public static AppServerReply withoutValue(CallResult result) {
    return new AppServerReply(result, null, 0, 0, "");
  }

  private static String text(List<RespValue> elements, int position) {
    return elements.size() > position && elements.get(position) instanceof RespValue.Bulk bulk
        ? bulk.text() : "";
  }

  /** How the call ended. */
  public CallResult result() {
    return result;
  }

  /** The client's answer; null but with {@link CallResult#ANSWERED}. */
  public byte[] value() {
    return value;
  }

  /** What the request used of the quota, in units; 0: not said. */
  public double actualUnits() {
    return actualUnits;
  }

  /**
   * 1 + the customer's use over all nodes in the metered period before, as a percentage of its
   * rate; 0: not said.
   */
  public double fleetUtilization() {
    return fleetUtilization;
  }

  /** Figures by name, as {@link NamedNumbers} reads them; empty: none came. */
  public String loadReport() {
    return loadReport;
  }
}
