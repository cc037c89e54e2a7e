package saltlatch.state;

/**
 * A request in flight, from the receipt of its last byte until it has its final response and all
 * its attempts have ended. It is the only state that the client side and the app server side of the
 * node share. The first final response is sent; later ones are dropped. Owned by the event loop.
 */
public final class RequestContext {
  /**
   * Receives the final response. One of its response methods is called, on the event loop, at most
   * once for each request.
   */
  public interface ResponseSink {
    /** Sends the value that the app server returned. */
    void succeed(byte[] value);

    /**
     * Rejects the request, which was not executed, so that a retry is safe.
     *
     * @param retryAfterMs how long the client should wait before a retry; 0 for no advice
     */
    void reject(long retryAfterMs);

    /** Fails the request, which may have been executed. */
    void fail();

    /**
     * Returns how long ago, in ticks, the operating system received the last bytes of this
     * connection; 0 if unknown.
     */
    long readDelayTicks();
  }

  private final long requestId;
  private final ClientRequest request;
  private final ResponseSink client;
  private boolean finished;
  private int attempts;
  private int attemptsInFlight;

  RequestContext(long requestId, ClientRequest request, ResponseSink client) {
    this.requestId = requestId;
    this.request = request;
    this.client = client;
  }

  /** Returns the number that this node assigned to the request on arrival. */
  public long requestId() {
    return requestId;
  }

  /** Returns the request as decoded from the client's command. */
  public ClientRequest request() {
    return request;
  }

  /** Returns whether the request has its final response or its client has disconnected. */
  public boolean isFinished() {
    return finished;
  }

  /** Sends the app server's value as the final response. */
  public void succeed(byte[] value) {
    if (finish()) client.succeed(value);
  }

  /** Rejects the request; a {@code retryAfterMs} of 0 gives the client no advice when to retry. */
  public void reject(long retryAfterMs) {
    if (finish()) client.reject(retryAfterMs);
  }

  /** Fails the request, which may have been executed. */
  public void fail() {
    if (finish()) client.fail();
  }

  /** Records that the client closed its connection: no final response is sent any more. */
  public void clientDisconnected() {
    finished = true;
  }

  private boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }

  /** Starts an attempt and returns its number, from 0. */
  int startAttempt() {
    attemptsInFlight++;
    return attempts++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  /** Returns whether the request is finished and has no attempt in flight. */
  boolean isComplete() {
    return finished && attemptsInFlight == 0;
  }
}
