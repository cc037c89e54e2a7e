package saltlatch.wire.client;

import java.util.HashMap;
import java.util.Map;
import saltlatch.wire.Excerpt;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.resp.DecimalCodec;

/**
 * The list of terms in a client's command, {@code NAME=VALUE,NAME=VALUE}, and the protocol's names
 * of the terms that this node reads. The list may contain other names, which are forwarded to the
 * app server with the rest. Immutable.
 */
final class RequestTerms {
  private static final String REQUEST_CLASS = "c";
  private static final String PLAN = "t";
  private static final String CLIENT_TIMEOUT_MS = "d";
  private static final String RETRY = "r";
  private static final String UNITS = "units";
  private static final String NODE_COUNT = "spread";
  private static final String FIRST_NODE = "first";
  private static final String IDEMPOTENCY_KEY = "k";

  /** No client that follows the protocol sends a longer list. */
  private static final int MAX_LENGTH_BYTES = 1024;
  private static final long CLIENT_TIMEOUT_LIMIT_MS = 1L << 31;
  private static final double UNITS_LIMIT = 1e9;
  private static final int NODE_LIMIT = 1 << 20;

  private static final String MARKED_AS_RETRY = "1";
  private static final double DEFAULT_UNITS = 1;

  private final String text;
  private final Map<String, String> values = new HashMap<>();
  private int timeoutBegin; // index of the timeout's value in the text
  private int timeoutEnd; // index after the timeout's value

  /** Splits the list into terms; each getter validates its value when it is called. */
  RequestTerms(String text) throws MalformedMessageException {
    if (text.length() > MAX_LENGTH_BYTES) {
      throw new MalformedMessageException("terms", text.length() + " bytes",
          MAX_LENGTH_BYTES + " bytes");
    }
    this.text = text;
    int begin = 0;
    while (begin < text.length()) {
      int comma = text.indexOf(',', begin);
      int end = comma < 0 ? text.length() : comma;
      addTerm(begin, end);
      begin = end + 1;
    }
  }

  private void addTerm(int begin, int end) throws MalformedMessageException {
    int equals = text.indexOf('=', begin);
    if (equals <= begin || equals >= end) {
      throw malformed("expected NAME=VALUE, found " + Excerpt.quoted(text.substring(begin, end)));
    }
    String name = text.substring(begin, equals);
    if (values.put(name, text.substring(equals + 1, end)) != null) {
      throw malformed("term " + Excerpt.quoted(name) + " occurs more than once");
    }
    if (name.equals(CLIENT_TIMEOUT_MS)) {
      timeoutBegin = equals + 1;
      timeoutEnd = end;
    }
  }

  String requestClass() throws MalformedMessageException {
    return required(REQUEST_CLASS);
  }

  String plan() throws MalformedMessageException {
    return required(PLAN);
  }

  long clientTimeoutMs() throws MalformedMessageException {
    long timeoutMs = DecimalCodec.parseDigits(required(CLIENT_TIMEOUT_MS));
    if (timeoutMs < 0 || timeoutMs >= CLIENT_TIMEOUT_LIMIT_MS) {
      throw outOfRange(CLIENT_TIMEOUT_MS, "0 to 2^31 - 1 ms");
    }
    return timeoutMs;
  }

  double units() throws MalformedMessageException {
    String value = values.get(UNITS);
    double units = value == null ? DEFAULT_UNITS : DecimalCodec.parse(value);
    boolean inRange = units > 0 && units < UNITS_LIMIT; // false for NaN
    if (!inRange) throw outOfRange(UNITS, "over 0 and under 1e9 units");
    return units;
  }

  /** Returns how many consecutive nodes serve the customer; 0 if not given. */
  int nodeCount() throws MalformedMessageException {
    if (!values.containsKey(NODE_COUNT)) return 0;
    int count = nodeNumber(NODE_COUNT);
    if (count == 0) throw outOfRange(NODE_COUNT, "1 to 2^20 - 1 nodes");
    return count;
  }

  int firstNode() throws MalformedMessageException {
    return values.containsKey(FIRST_NODE) ? nodeNumber(FIRST_NODE) : 0;
  }

  private int nodeNumber(String name) throws MalformedMessageException {
    long number = DecimalCodec.parseDigits(values.get(name));
    if (number < 0 || number >= NODE_LIMIT) throw outOfRange(name, "0 to 2^20 - 1 nodes");
    return (int) number;
  }

  boolean isRetry() {
    return MARKED_AS_RETRY.equals(values.get(RETRY));
  }

  boolean hasIdempotencyKey() {
    return !values.getOrDefault(IDEMPOTENCY_KEY, "").isEmpty();
  }

  /** Returns the text before the value of the client's timeout. */
  String textBeforeTimeout() {
    return text.substring(0, timeoutBegin);
  }

  /** Returns the text after the value of the client's timeout. */
  String textAfterTimeout() {
    return text.substring(timeoutEnd);
  }

  private String required(String name) throws MalformedMessageException {
    String value = values.get(name);
    if (value == null) throw malformed("term " + name + " is missing");
    return value;
  }

  private static MalformedMessageException malformed(String problem) {
    return new MalformedMessageException("terms", problem);
  }

  private MalformedMessageException outOfRange(String name, String range) {
    return new MalformedMessageException("term " + name,
        "expected a number in range, found " + Excerpt.quoted(values.get(name)), range);
  }
}
