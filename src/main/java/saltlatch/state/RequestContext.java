package saltlatch.state;

/**
 * One request in flight, from its last byte to its final response and the end of its attempts: the
 * only thing that the client side and the app server side of the node share. The first final
 * response wins; later ones are dropped. Owned by the event loop.
 */
public final class RequestContext {
  /** Where the final response goes. Called on the event loop, once for each request. */
  public interface ResponseSink {
    /** Sends the app server's value. */
    void succeed(byte[] value);

    /** Rejects the request; a retry is harmless, best after {@code retryAfterMs} (0: no advice). */
    void reject(long retryAfterMs);

    /** Fails the request; it may have been executed. */
    void fail();

    /**
     * How long ago the operating system received the last bytes of this connection; 0 if that is
     * not known.
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

  /** The number that this node gave the request on arrival. */
  public long requestId() {
    return requestId;
  }

  /** The client's command. */
  public ClientRequest request() {
    return request;
  }

  /** Whether the request has its final response, or nobody waits for one any more. */
  public boolean isFinished() {
    return finished;
  }

  /** Final response: the app server's value. */
  public void succeed(byte[] value) {
    if (finish()) client.succeed(value);
  }

  /** Final response: rejected, with a wait advised unless it is 0. */
  public void reject(long retryAfterMs) {
    if (finish()) client.reject(retryAfterMs);
  }

  /** Final response: failed. */
  public void fail() {
    if (finish()) client.fail();
  }

  /** The client closed its connection: nobody waits for a response any more. */
  public void clientDisconnected() {
    finished = true;
  }

  private boolean finish() {
    boolean first = !finished;
    finished = true;
    return first;
  }

  /** Returns the number of the attempt that begins. */
  int startAttempt() {
    attemptsInFlight++;
    return attempts++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  /** Whether it is finished with no attempt in flight. */
  boolean isComplete() {
    return finished && attemptsInFlight == 0;
  }
}
