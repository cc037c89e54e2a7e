package saltlatch.wire;

/**
 * Cuts values that came from outside the process to a bounded length for error messages. Has no
 * state.
 */
public final class Excerpt {
  private static final int MAX_CHARACTERS = 64;

  private Excerpt() {}

  /** Returns the text, or its first 64 characters if it is longer. */
  public static String of(String text) {
    return of(text, MAX_CHARACTERS);
  }

  /** Returns the text, or its first {@code maxCharacters} characters if it is longer. */
  public static String of(String text, int maxCharacters) {
    return text.substring(0, Math.min(maxCharacters, text.length()));
  }

  /** Returns the text in quotation marks, or its first 64 characters if it is longer. */
  public static String quoted(String text) {
    return '"' + of(text) + '"';
  }
}
