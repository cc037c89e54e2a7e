package saltlatch.state;

/**
 * One req, from its last byte to its final answer: the only thing that both sides of the node know.
 */
public final class RequestContext {
  /** Where the final answer goes. */
  public interface ResponseSink {
    void succeed(byte[] value);

    void reject(long pauseMs);

    void fail();

    /**
     * How long ago the last bytes came on its connection, by the system; 0 if that is not known.
     */
    long unreadTicks();
  }

  public final long requestId;
  public final ClientRequest request;
  private final ResponseSink client;
  private boolean isFinished;
  private int dispatches;
  private int out;

  RequestContext(long rid, ClientRequest req, ResponseSink client) {
    this.requestId = rid;
    this.request = req;
    this.client = client;
  }

  public boolean isFinished() {
    return isFinished;
  }

  public void succeed(byte[] value) {
    if (end()) client.succeed(value);
  }

  public void reject(long pauseMs) {
    if (end()) client.reject(pauseMs);
  }

  public void fail() {
    if (end()) client.fail();
  }

  /** Nobody waits for an answer any more. */
  public void clientDisconnected() {
    isFinished = true;
  }

  private boolean end() {
    boolean first = !isFinished;
    isFinished = true;
    return first;
  }

  /** The number of the dispatch that begins. */
  int beginAttempt() {
    out++;
    return dispatches++;
  }

  void attemptEnded() {
    out--;
  }

  boolean isReleasable() {
    return isFinished && out == 0;
  }
}
