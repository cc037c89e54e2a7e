package saltlatch.wire.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import saltlatch.state.ClientRequest;
import saltlatch.wire.Excerpt;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.resp.RespValue;

/**
 * Decodes a client's command, {@code VERB CUSTOMER ID TERMS [BODY]}, into a request. Only this
 * class and {@link RequestTerms} contain the protocol's words for requests. Has no state.
 */
public final class ClientCommandDecoder {
  /** The prefix of every verb that starts a request. */
  static final String VERB_PREFIX = "SVC.";
  private static final String QUERY = "SVC.QUERY";
  private static final String SUBMIT = "SVC.SUBMIT";

  private static final int WORDS_WITHOUT_BODY = 4;
  private static final int WORDS_WITH_BODY = 5;
  private static final int VERB_WORD = 0;
  private static final int CUSTOMER_WORD = 1;
  private static final int ID_WORD = 2;
  private static final int TERMS_WORD = 3;
  private static final int BODY_WORD = 4;

  private static final int CUSTOMER_DIGITS = 16;
  private static final int HEXADECIMAL = 16;
  private static final long CUSTOMER_LIMIT = 1L << 33;
  private static final int MAX_ID_BYTES = 64;

  private ClientCommandDecoder() {}

  /**
   * Decodes the words of one command; called once for each command on a client's connection.
   *
   * @throws MalformedMessageException if a word or term is invalid; the connection can still be
   *         read
   */
  public static ClientRequest decode(List<RespValue> words) throws MalformedMessageException {
    checkWords(words);
    byte[] id = bytes(words, ID_WORD);
    if (id.length == 0 || id.length > MAX_ID_BYTES) {
      throw new MalformedMessageException("request id", id.length + " bytes",
          "1 to " + MAX_ID_BYTES + " bytes");
    }
    RequestTerms terms = new RequestTerms(text(words, TERMS_WORD));
    return new ClientRequest(text(words, ID_WORD), customer(text(words, CUSTOMER_WORD)),
        terms.requestClass(), terms.plan(), terms.clientTimeoutMs(), terms.units(),
        terms.nodeCount(), terms.firstNode(), terms.isRetry(), isQuery(text(words, VERB_WORD)),
        terms.hasIdempotencyKey(), command(words, terms));
  }

  private static void checkWords(List<RespValue> words) throws MalformedMessageException {
    if (words.size() != WORDS_WITHOUT_BODY && words.size() != WORDS_WITH_BODY) {
      throw new MalformedMessageException("command", words.size() + " words",
          WORDS_WITHOUT_BODY + " or " + WORDS_WITH_BODY + " words");
    }
    for (int i = 0; i < words.size(); i++) {
      if (!(words.get(i) instanceof RespValue.Bulk bulk) || bulk.bytes() == null) {
        throw new MalformedMessageException("command word " + (i + 1),
            "expected a bulk string, found a null string or another RESP2 type");
      }
    }
  }

  private static boolean isQuery(String verb) throws MalformedMessageException {
    return switch (verb) {
      case QUERY -> true;
      case SUBMIT -> false;
      default -> throw new MalformedMessageException("verb",
          "expected " + QUERY + " or " + SUBMIT + ", found " + Excerpt.quoted(verb));
    };
  }

  private static long customer(String digits) throws MalformedMessageException {
    if (digits.length() != CUSTOMER_DIGITS) {
      throw new MalformedMessageException("customer", digits.length() + " characters",
          CUSTOMER_DIGITS + " hexadecimal digits");
    }
    long customer;
    try {
      customer = Long.parseUnsignedLong(digits, HEXADECIMAL);
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("customer",
          "expected " + CUSTOMER_DIGITS + " hexadecimal digits, found " + Excerpt.quoted(digits),
          e);
    }
    // The parser accepts a leading plus sign, and returns numbers from 2^63 as negative numbers.
    if (digits.charAt(0) == '+' || customer < 0 || customer >= CUSTOMER_LIMIT) {
      throw new MalformedMessageException("customer",
          "expected an unsigned number in range, found " + Excerpt.quoted(digits), "0 to 2^33 - 1");
    }
    return customer;
  }

  private static ClientRequest.Command command(List<RespValue> words, RequestTerms terms) {
    byte[] body = words.size() == WORDS_WITH_BODY ? bytes(words, BODY_WORD) : null;
    return new ClientRequest.Command(bytes(words, VERB_WORD), bytes(words, CUSTOMER_WORD),
        bytes(words, ID_WORD), terms.textBeforeTimeout().getBytes(StandardCharsets.ISO_8859_1),
        terms.textAfterTimeout().getBytes(StandardCharsets.ISO_8859_1), body);
  }

  private static byte[] bytes(List<RespValue> words, int position) {
    return ((RespValue.Bulk) words.get(position)).bytes();
  }

  private static String text(List<RespValue> words, int position) {
    return ((RespValue.Bulk) words.get(position)).text();
  }
}
