package saltlatch.wire.counter;

import saltlatch.api.Ticks;
import saltlatch.wire.resp.DecimalCodec;
import saltlatch.wire.transport.CallResult;

/** Encodes calls to the counter and decodes its answers; each is one line of text. */
final class CounterCodec {
  private static final String ADD = "bump";
  private static final String TOTAL_PREFIX = "ok ";
  private static final String BUSY = "busy";
  private static final String ERROR = "error";
  private static final String LINE_END = "\r\n";
  private static final long MIN_TIME_TO_LIVE_MS = 1;

  /**
   * The result of a call as given by its answer.
   *
   * @param total the name's total in units, including the call's own; 0 unless answered
   */
  record Answer(CallResult result, double total) {}

  private CounterCodec() {}

  /**
   * Returns the call that adds units to a name's total, which the counter may discard after its
   * time to live.
   */
  static String encodeAdd(long name, double units, long timeToLiveTicks) {
    long timeToLiveMs = Math.max(MIN_TIME_TO_LIVE_MS, timeToLiveTicks / Ticks.PER_MILLISECOND);
    return ADD + " " + Long.toHexString(name) + " " + DecimalCodec.format(units) + " "
        + timeToLiveMs + LINE_END;
  }

  /** Decodes an answer, given without its line end. */
  static Answer decode(String line) {
    double total = line.startsWith(TOTAL_PREFIX)
        ? DecimalCodec.parse(line.substring(TOTAL_PREFIX.length())) : Double.NaN;
    return Double.isNaN(total) ? new Answer(resultWithoutTotal(line), 0)
        : new Answer(CallResult.ANSWERED, total);
  }

  /**
   * Accepts only the exact words of a refusal as proof that no units were added. If a malformed
   * answer were taken for a refusal, units that the counter may have added would be added again.
   */
  private static CallResult resultWithoutTotal(String line) {
    return switch (line) {
      case BUSY -> CallResult.BUSY_REPLY;
      case ERROR -> CallResult.CALL_REFUSED;
      default -> CallResult.MALFORMED_REPLY;
    };
  }
}
