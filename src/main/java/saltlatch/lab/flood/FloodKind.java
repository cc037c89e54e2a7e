package saltlatch.lab.flood;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import saltlatch.lab.rig.CommandText;

/** A kind of message with which a client floods an edge node. */
public enum FloodKind {
  /** A command that is answered at once. */
  PING,
  /** A command whose reply is far longer than itself. */
  INFO,
  /** A command that does not exist. */
  UNKNOWN,
  /** A request without its terms. */
  MALFORMED,
  /** A request of a class that the settings do not have. */
  INVALID,
  /** A valid request of a new customer each, with no time left. */
  NEW_CUSTOMER,
  /** A valid request of a new customer each, which the node may forward. */
  REQUEST,
  /** An array of the maximum number of short elements. */
  SHORT_ELEMENTS,
  /** An array without elements. */
  EMPTY_ARRAY;

  private static final int SHORT_ELEMENT_COUNT = 16;
  private static final long FIRST_CUSTOMER = 1L << 32; // apart from the usual clients' customers

  /** Returns the kind with this name in lower case. */
  public static FloodKind of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns a message; {@code number} is different for each message of a trial. */
  byte[] message(long number) {
    return text(number).getBytes(StandardCharsets.ISO_8859_1);
  }

  private String text(long number) {
    String customer = String.format("%016x", FIRST_CUSTOMER + number);
    String id = String.format("f%015x", number);
    return switch (this) {
      case PING -> CommandText.of("PING");
      case INFO -> CommandText.of("INFO");
      case UNKNOWN -> CommandText.of("U" + number);
      case MALFORMED -> CommandText.of("SVC.QUERY", customer, id);
      case INVALID -> CommandText.of("SVC.QUERY", customer, id, "c=u" + number + ",t=plan,d=900");
      case NEW_CUSTOMER -> CommandText.of("SVC.QUERY", customer, id, "c=read,t=plan,d=1");
      case REQUEST -> CommandText.of("SVC.QUERY", customer, id, "c=read,t=plan,d=900");
      case SHORT_ELEMENTS ->
        "*" + SHORT_ELEMENT_COUNT + "\r\n" + "$1\r\na\r\n".repeat(SHORT_ELEMENT_COUNT);
      case EMPTY_ARRAY -> "*0\r\n";
    };
  }
}
