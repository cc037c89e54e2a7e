package saltlatch.relay;

/** Thrown when an upstream sends a line that is not a valid list or exceeds a size limit. */
final class MalformedWatchException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedWatchException(String message) {
    super(message);
  }
}
