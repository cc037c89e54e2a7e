package saltlatch.state;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltlatch.wire.resp.DecimalFormat;
import saltlatch.wire.resp.RespValue;

/**
 * A client's command, decoded once; it is passed on with another {@code d} and otherwise as it
 * came.
 */
public final class ClientRequest {
  private static final int LONGEST_TERMS = 1024; // bytes; with more it is no command of ours

  public final String id; // no two reqs have the same
  public final long customer;
  public final String requestClass;
  public final String plan;
  public final long clientTimeoutMs;
  public final double units;
  public final int nodeCount;
  public final int firstNode;
  public final boolean retry;
  public final boolean query; // else a submit
  public final boolean hasIdempotencyKey;
  private final byte[] verb;
  private final byte[] customerText;
  private final byte[] idText;
  private final byte[] termsBefore; // the d's value
  private final byte[] termsAfter;
  private final byte[] body; // null: none

  /** Null if the command is not one of ours or is malformed. */
  public static ClientRequest of(List<RespValue> words) {
    try {
      return new ClientRequest(words);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private ClientRequest(List<RespValue> words) {
    must(words.size() == 4 || words.size() == 5);
    for (RespValue w : words) must(w instanceof RespValue.Bulk b && b.bytes() != null);
    verb = bytes(words, 0);
    customerText = bytes(words, 1);
    idText = bytes(words, 2);
    id = new String(idText, StandardCharsets.ISO_8859_1);
    body = words.size() > 4 ? bytes(words, 4) : null;
    String verbText = new String(verb, StandardCharsets.ISO_8859_1);
    query = verbText.equals("SVC.QUERY");
    must(query || verbText.equals("SVC.SUBMIT"));
    must(customerText.length == 16 && idText.length > 0 && idText.length <= 64);
    String digits = new String(customerText, StandardCharsets.ISO_8859_1);
    must(digits.charAt(0) != '+');
    customer = Long.parseUnsignedLong(digits, 16);
    must(customer >= 0 && customer < 1L << 33);
    String terms = new String(bytes(words, 3), StandardCharsets.ISO_8859_1);
    must(terms.length() <= LONGEST_TERMS);
    String frontend = null;
    String plan = null;
    long wait = -1;
    double units = 1;
    long width = 0;
    long first = 0;
    boolean repeat = false;
    boolean keyed = false;
    Set<String> seen = new HashSet<>();
    int cut = 0;
    int cutEnd = 0;
    for (int at = 0; at < terms.length();) {
      int end = terms.indexOf(',', at);
      end = end < 0 ? terms.length() : end;
      int is = terms.indexOf('=', at);
      must(is > at && is < end);
      String value = terms.substring(is + 1, end);
      must(seen.add(terms.substring(at, is)));
      switch (terms.substring(at, is)) {
        case "c" -> frontend = value;
        case "t" -> plan = value;
        case "d" -> {
          wait = DecimalFormat.parseWhole(value);
          cut = is + 1;
          cutEnd = end;
        }
        case "r" -> repeat = value.equals("1");
        case "units" -> units = DecimalFormat.parse(value);
        case "spread" -> width = DecimalFormat.parseWhole(value);
        case "first" -> first = DecimalFormat.parseWhole(value);
        case "k" -> keyed = !value.isEmpty();
        default -> {}
      }
      at = end + 1;
    }
    must(frontend != null && plan != null && wait >= 0 && wait < 1L << 31);
    must(!seen.contains("spread") || width > 0);
    must(
        units > 0 && units < 1e9 && width >= 0 && width < 1 << 20 && first >= 0 && first < 1 << 20);
    this.requestClass = frontend;
    this.plan = plan;
    this.units = units;
    this.nodeCount = (int) width;
    this.firstNode = (int) first;
    this.retry = repeat;
    this.hasIdempotencyKey = keyed;
    clientTimeoutMs = wait;
    termsBefore = terms.substring(0, cut).getBytes(StandardCharsets.ISO_8859_1);
    termsAfter = terms.substring(cutEnd).getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The command for an app srv, which is to know how long this node waits. */
  public Buffer forward(long waitMs) {
    byte[] wait = Long.toString(Math.max(1, waitMs)).getBytes(StandardCharsets.ISO_8859_1);
    Buffer out = Buffer.buffer(160 + sizeBytes());
    out.appendString(body == null ? "*4\r\n" : "*5\r\n");
    RespValue.bulk(out, verb);
    RespValue.bulk(out, customerText);
    RespValue.bulk(out, idText);
    out.appendString("$" + (termsBefore.length + wait.length + termsAfter.length) + "\r\n");
    out.appendBytes(termsBefore).appendBytes(wait).appendBytes(termsAfter).appendString("\r\n");
    if (body != null) RespValue.bulk(out, body);
    return out;
  }

  /** Bytes that it holds in memory. */
  public int sizeBytes() {
    return verb.length + customerText.length + idText.length + termsBefore.length
        + termsAfter.length + (body == null ? 0 : body.length);
  }

  private static byte[] bytes(List<RespValue> words, int at) {
    return ((RespValue.Bulk) words.get(at)).bytes();
  }

  private static void must(boolean holds) {
    if (!holds) throw new IllegalArgumentException();
  }
}
