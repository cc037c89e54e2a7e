package saltlatch.settings;

/**
 * A configuration or settings text that can't be used. The message names the key and what is
 * expected of its value.
 */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  /** A problem that is not about one key's presence or type. */
  public InvalidSettingException(String message) {
    super(message);
  }

  /** A key that must be there is not. */
  public static InvalidSettingException missing(String key) {
    return new InvalidSettingException(key + " is missing");
  }

  /** A key's value is not of the expected type, which is named as in "number" or "list". */
  public static InvalidSettingException wrongType(String key, String expectedType) {
    return new InvalidSettingException(key + " is no " + expectedType);
  }
}
