package saltlatch.simhost;

/** A frame of the simulator that can't be read; the message says which part of it and why. */
final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedFrameException(String message) {
    super(message);
  }
}
