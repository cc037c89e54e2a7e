package saltlatch.configuration;

/**
 * The keys that identify a part of a shared configuration in locks, faults and rejections.
 * Operators read and write these keys, so they are the same as in the configuration's text.
 */
final class ConfigurationKeys {
  static final String QUOTA_PLANS = "plans";
  static final String REQUEST_CLASSES = "frontends";
  static final String EXCLUDED_SERVERS = "heldOut";
  static final String CUSTOMERS = "customers";
  static final String MAX_ATTEMPTS = "sendCap";
  static final String IDEMPOTENT_BY_KEY = "uniqued";
  static final String KEY_TTL = "remembered";

  private ConfigurationKeys() {}

  static String quotaPlan(String name) {
    return QUOTA_PLANS + "." + name;
  }

  static String requestClass(String name) {
    return REQUEST_CLASSES + "." + name;
  }
}
