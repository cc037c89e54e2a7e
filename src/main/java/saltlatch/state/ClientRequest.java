package saltlatch.state;

/**
 * A client's request as decoded from its command. Immutable except for the byte arrays of
 * {@link Command}, which must not be modified.
 *
 * @param id                identifier that the client assigned; unique among all requests
 * @param customer          number of the customer whose quota it uses; 0 to 2^33 - 1
 * @param requestClass      name of its request class in the settings
 * @param plan              name of the customer's quota plan in the settings
 * @param clientTimeoutMs   how long the client waits, counted from when it sent the command
 * @param units             units of quota that the client expects the request to use
 * @param nodeCount         number of consecutive nodes that serve this customer; 0 if not given
 * @param firstNode         number of the first of these nodes
 * @param retry             whether the client marked it as a retry of an earlier request
 * @param query             whether it is a query, which may be executed twice, or a submit
 * @param hasIdempotencyKey whether app servers recognise a second copy of it by its key
 * @param command           the command's parts, to be forwarded
 */
public record ClientRequest(String id, long customer, String requestClass, String plan,
    long clientTimeoutMs, double units, int nodeCount, int firstNode, boolean retry, boolean query,
    boolean hasIdempotencyKey, Command command) {

  /**
   * The parts of a command as received; compared by identity. They are forwarded to an app server
   * unchanged except for the value of the client's timeout, which was between {@code
   * parametersBeforeTimeout} and {@code parametersAfterTimeout}.
   */
  public static final class Command {
    private final byte[] verb;
    private final byte[] customer;
    private final byte[] id;
    private final byte[] parametersBeforeTimeout;
    private final byte[] parametersAfterTimeout;
    private final byte[] body;

    /**
     * Creates a command that keeps these arrays without copying them.
     *
     * @param verb                    the command's name
     * @param customer                the digits of the customer's number
     * @param id                      the request's id
     * @param parametersBeforeTimeout the list of names and values up to the timeout's value
     * @param parametersAfterTimeout  the rest of that list, after the timeout's value
     * @param body                    the request's content, or null if it has none
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

    /** Returns the command's name. */
    public byte[] verb() {
      return verb;
    }

    /** Returns the digits of the customer's number. */
    public byte[] customer() {
      return customer;
    }

    /** Returns the request's id. */
    public byte[] id() {
      return id;
    }

    /** Returns the list of names and values up to the timeout's value. */
    public byte[] parametersBeforeTimeout() {
      return parametersBeforeTimeout;
    }

    /** Returns the rest of the list of names and values, after the timeout's value. */
    public byte[] parametersAfterTimeout() {
      return parametersAfterTimeout;
    }

    /** Returns the request's content, or null if it has none. */
    public byte[] body() {
      return body;
    }

    /** Returns the number of bytes in all parts, without the JVM's overhead for arrays. */
    public int sizeBytes() {
      return verb.length + customer.length + id.length + parametersBeforeTimeout.length
          + parametersAfterTimeout.length + (body == null ? 0 : body.length);
    }
  }

  /** Returns the number of bytes in the command, without the JVM's overhead for objects. */
  public int sizeBytes() {
    return command.sizeBytes();
  }
}
