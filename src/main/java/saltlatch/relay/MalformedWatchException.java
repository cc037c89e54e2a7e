package saltlatch.relay;

/** An upstream sent what is no list, or one beyond the bounds. */
final class MalformedWatchException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedWatchException(String message) {
    super(message);
  }
}
