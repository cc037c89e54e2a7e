package saltlatch.simhost;

/**
 * Thrown for a frame that can't be decoded. The message names the part, the limit and the value.
 */
final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedFrameException(String message) {
    super(message);
  }
}
