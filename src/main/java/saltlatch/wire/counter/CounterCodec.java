package saltlatch.wire.counter;

import saltlatch.api.Ticks;
import saltlatch.wire.resp.DecimalCodec;
import saltlatch.wire.transport.CallResult;

/** The lines of the counter's protocol. */
final class CounterCodec {
  private static final String ADD = "bump";
  private static final String TOTAL_PREFIX = "ok ";
  private static final String BUSY = "busy";
  private static final String ERROR = "error";
  private static final String LINE_END = "\r\n";
  private static final long MIN_TIME_TO_LIVE_MS = 1;

  /**
   * What an answer says of its call.
   *
   * @param total units under the call's name, its own among them; 0 unless answered
   */
  record Answer(CallResult result, double total) {}

  private CounterCodec() {}

  /** The call that adds units to a name's total, which the counter forgets after some time. */
  static String encodeAdd(long name, double units, long timeToLiveTicks) {
    long timeToLiveMs = Math.max(MIN_TIME_TO_LIVE_MS, timeToLiveTicks / Ticks.PER_MILLISECOND);
    return ADD + " " + Long.toHexString(name) + " " + DecimalCodec.format(units) + " "
        + timeToLiveMs + LINE_END;
  }

  /** Reads an answer's line without its end. */
  static Answer decode(String line) {
    double total = line.startsWith(TOTAL_PREFIX)
        ? DecimalCodec.parse(line.substring(TOTAL_PREFIX.length())) : Double.NaN;
    return Double.isNaN(total) ? new Answer(resultWithoutTotal(line), 0)
        : new Answer(CallResult.ANSWERED, total);
  }

  /**
   * Guards against a spoilt answer that is taken for a refusal: its units, which the counter may
   * have added, would be added again. So only the exact words of a refusal prove that nothing was.
   */
  private static CallResult resultWithoutTotal(String line) {
    return switch (line) {
      case BUSY -> CallResult.BUSY_REPLY;
      case ERROR -> CallResult.CALL_REFUSED;
      default -> CallResult.MALFORMED_REPLY;
    };
  }
}
