package saltlatch.state;

/**
 * A client's request as decoded from its command; immutable but for the byte arrays of
 * {@link Command}, which nobody writes to.
 *
 * @param id                the client's name for it; no two requests have the same
 * @param customer          whose quota it uses; 0 to 2^33 - 1
 * @param requestClass      its class, by the name in the settings
 * @param plan              the customer's plan, by the name in the settings
 * @param clientTimeoutMs   how long the client waits, from when it sent the command
 * @param units             what the client expects it to use of the quota
 * @param nodeCount         how many nodes in a row serve this customer; 0: not said
 * @param firstNode         the number of the first of these nodes
 * @param retry             the client has marked it as a retry of an earlier request
 * @param query             it came as a query, which may be executed twice; else as a submit
 * @param hasIdempotencyKey app servers recognise a second copy of it by its key
 * @param command           its text, to be forwarded
 */
public record ClientRequest(String id, long customer, String requestClass, String plan,
    long clientTimeoutMs, double units, int nodeCount, int firstNode, boolean retry, boolean query,
    boolean hasIdempotencyKey, Command command) {

  /**
   * The parts of a command as they came; compared by identity. An app server gets them unchanged
   * but for the client's timeout, whose value stood between {@code parametersBeforeTimeout} and
   * {@code parametersAfterTimeout}.
   */
  public static final class Command {
    private final byte[] verb;
    private final byte[] customer;
    private final byte[] id;
    private final byte[] parametersBeforeTimeout;
    private final byte[] parametersAfterTimeout;
    private final byte[] body;

    /**
     * Keeps the arrays.
     *
     * @param verb               what is asked for
     * @param customer           the customer's digits
     * @param id                 the request's id
     * @param parametersBeforeTimeout the list of names and values up to the timeout's value
     * @param parametersAfterTimeout  the same list behind that value
     * @param body               the request's content; null: it has none
     */
    public Command(byte[] verb, byte[] customer, byte[] id, byte[] parametersBeforeTimeout,
        byte[] parametersAfterTimeout, byte[] body) {
      this.verb = verb;
      this.customer = customer;
      this.id = id;
      this.parametersBeforeTimeout = parametersBeforeTimeout;
      this.parametersAfterTimeout = parametersAfterTimeout;
      this.body = body;
    }

    /** What is asked for. */
    public byte[] verb() {
      return verb;
    }

    /** The customer's digits. */
    public byte[] customer() {
      return customer;
    }

    /** The request's id. */
    public byte[] id() {
      return id;
    }

    /** The list of names and values up to the timeout's value. */
    public byte[] parametersBeforeTimeout() {
      return parametersBeforeTimeout;
    }

    /** The list of names and values behind the timeout's value. */
    public byte[] parametersAfterTimeout() {
      return parametersAfterTimeout;
    }

    /** The request's content; null: it has none. */
    public byte[] body() {
      return body;
    }

    /** Bytes that its parts hold in memory, without what the JVM adds. */
    public int sizeBytes() {
      return verb.length + customer.length + id.length + parametersBeforeTimeout.length
          + parametersAfterTimeout.length + (body == null ? 0 : body.length);
    }
  }

  /** Bytes that its text holds in memory, without what the JVM adds. */
  public int sizeBytes() {
    return command.sizeBytes();
  }
}
