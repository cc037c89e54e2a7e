package saltlatch.state;

import saltlatch.wire.Request;

/** One req, from its last byte to its final answer: the only thing that both sides of the node know. */
public final class Exchange {
  /** Where the final answer goes. */
  public interface Client {
    void passed(byte[] value);

    void denied(long pauseMs);

    void aborted();

    /** How long ago the last bytes came on its connection, by the system; 0 if that is not known. */
    long unreadFor();
  }

  public final long rid;
  public final Request req;
  private final Client client;
  private boolean over;
  private int dispatches;
  private int out;

  Exchange(long rid, Request req, Client client) {
    this.rid = rid;
    this.req = req;
    this.client = client;
  }

  public boolean over() {
    return over;
  }

  public void passed(byte[] value) {
    if (end()) client.passed(value);
  }

  public void denied(long pauseMs) {
    if (end()) client.denied(pauseMs);
  }

  public void aborted() {
    if (end()) client.aborted();
  }

  /** Nobody waits for an answer any more. */
  public void left() {
    over = true;
  }

  private boolean end() {
    boolean first = !over;
    over = true;
    return first;
  }

  /** The number of the dispatch that begins. */
  int begin() {
    out++;
    return dispatches++;
  }

  void ended() {
    out--;
  }

  boolean idle() {
    return over && out == 0;
  }
}
