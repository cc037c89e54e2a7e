package saltlatch.settings;

/**
 * Thrown for an invalid configuration or settings text. The message names the key, the expected
 * value and the value found.
 */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;
  private static final int MAX_QUOTED_CHARS = 80;

  /** Creates an exception for a problem other than a missing key or a wrong type. */
  public InvalidSettingException(String message) {
    super(message);
  }

  /** Returns an exception for a required key that is missing. */
  public static InvalidSettingException missing(String key) {
    return new InvalidSettingException("required key " + key + " is missing");
  }

  /**
   * Returns an exception for a value of the wrong type.
   *
   * @param expectedType names the type, for example "number" or "list"
   * @param found        the value as JSON text; the message quotes at most 80 characters of it
   */
  public static InvalidSettingException wrongType(String key, String expectedType, String found) {
    String quoted = found.length() <= MAX_QUOTED_CHARS ? found
        : found.substring(0, MAX_QUOTED_CHARS) + "...";
    return new InvalidSettingException(
        key + ": expected type: " + expectedType + ", found: " + quoted);
  }
}
