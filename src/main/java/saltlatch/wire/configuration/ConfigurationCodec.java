package saltlatch.wire.configuration;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.QuotaPlan;
import saltlatch.api.GatewaySettings.RequestClass;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;
import saltlatch.configuration.ConfigurationVersion;
import saltlatch.configuration.SharedConfiguration;
import saltlatch.configuration.SharedConfiguration.Limits;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;
import saltlatch.wire.Excerpt;
import saltlatch.wire.LimitExceededException;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.ProtocolException;

/**
 * Encodes shared configurations as JSON and decodes them: times in ms, customers in hexadecimal.
 * Unknown keys, missing keys and values of the wrong type are rejected with the path of the key.
 * Each configuration has exactly one encoding, and therefore one hash.
 */
public final class ConfigurationCodec {
  // Far more than the configuration of any fleet, far less than the memory of a quorum server.
  private static final int MAX_LENGTH_CHARACTERS = 1 << 20;
  private static final int HASH_BYTES = 8;
  private static final int HEXADECIMAL = 16;

  private static final String EPOCH = "epoch";
  private static final String NUMBER = "number";
  private static final String LEASE_EXPIRY_POLICY = "expired";
  private static final String LOCKED_KEYS = "pins";
  private static final String QUOTA_PLANS = "plans";
  private static final String REQUEST_CLASSES = "frontends";
  private static final String LIMITS = "limits";
  private static final String EXCLUDED_SERVERS = "held_out";
  private static final String BLOCKED_CUSTOMERS = "barred";
  private static final String EXEMPT_CUSTOMERS = "exempt";
  private static final String MEMBERS = "roster";
  private static final List<String> KEYS = List.of(EPOCH, NUMBER, LEASE_EXPIRY_POLICY, LOCKED_KEYS,
      QUOTA_PLANS, REQUEST_CLASSES, LIMITS, EXCLUDED_SERVERS, BLOCKED_CUSTOMERS, EXEMPT_CUSTOMERS,
      MEMBERS);

  private static final String RATE_PER_SECOND = "rate";
  private static final String BURST_UNITS = "burst";
  private static final String MAX_CONCURRENT = "parallel";
  private static final String CEILING_PER_SECOND = "ceiling_rate";
  private static final String CEILING_BURST_UNITS = "ceiling_burst";
  private static final String PLAN_PRIORITY_WEIGHT = "price";
  private static final List<String> QUOTA_PLAN_KEYS = List.of(RATE_PER_SECOND, BURST_UNITS,
      MAX_CONCURRENT, CEILING_PER_SECOND, CEILING_BURST_UNITS, PLAN_PRIORITY_WEIGHT);

  private static final String RETRY_SAFETY = "effect";
  private static final String KEY_SCOPE = "group";
  private static final String KEY_TTL_MS = "remembered_ms";
  private static final String LATENCY_OBJECTIVE_MS = "target_ms";
  private static final String CLIENT_TIMEOUT_MS = "client_timeout_ms";
  private static final String CLASS_PRIORITY_WEIGHT = "value";
  private static final List<String> REQUEST_CLASS_KEYS = List.of(RETRY_SAFETY, KEY_SCOPE,
      KEY_TTL_MS, LATENCY_OBJECTIVE_MS, CLIENT_TIMEOUT_MS, CLASS_PRIORITY_WEIGHT);

  private static final String MAX_ATTEMPTS = "send_cap";
  private static final String MAX_RETRY_AFTER_MS = "longest_pause_ms";
  private static final List<String> LIMIT_KEYS = List.of(MAX_ATTEMPTS, MAX_RETRY_AFTER_MS);

  private ConfigurationCodec() {}

  /**
   * Decodes a configuration; missing numbers are 0, and missing lists are empty.
   *
   * @throws LimitExceededException    if the text is too long
   * @throws MalformedMessageException if the text is malformed; names the key and the problem
   */
  public static SharedConfiguration decode(String text) throws ProtocolException {
    if (text.length() > MAX_LENGTH_CHARACTERS) throw new LimitExceededException("configuration",
        text.length() + " characters", MAX_LENGTH_CHARACTERS + " characters");
    return decode(JsonObjectReader.ofText(text));
  }

  static SharedConfiguration decode(JsonObjectReader object) throws MalformedMessageException {
    object.allowOnly(KEYS);
    Map<String, QuotaPlan> quotaPlans = new TreeMap<>();
    for (JsonObjectReader plan : object.child(QUOTA_PLANS).children())
      quotaPlans.put(plan.name(), quotaPlan(plan));
    Map<String, RequestClass> requestClasses = new TreeMap<>();
    for (JsonObjectReader requestClass : object.child(REQUEST_CLASSES).children())
      requestClasses.put(requestClass.name(), requestClass(requestClass));
    return new SharedConfiguration(
        new ConfigurationVersion(object.integer(EPOCH), object.integer(NUMBER)), quotaPlans,
        requestClasses, limits(object.child(LIMITS)), object.strings(EXCLUDED_SERVERS),
        customers(object, BLOCKED_CUSTOMERS), customers(object, EXEMPT_CUSTOMERS),
        object.strings(MEMBERS), object.strings(LOCKED_KEYS), leaseExpiryPolicy(object));
  }

  private static QuotaPlan quotaPlan(JsonObjectReader object) throws MalformedMessageException {
    object.allowOnly(QUOTA_PLAN_KEYS);
    return new QuotaPlan(object.number(RATE_PER_SECOND), object.number(BURST_UNITS),
        (int) object.integer(MAX_CONCURRENT), object.number(CEILING_PER_SECOND),
        object.number(CEILING_BURST_UNITS), object.number(PLAN_PRIORITY_WEIGHT));
  }

  private static RequestClass requestClass(JsonObjectReader object)
      throws MalformedMessageException {
    object.allowOnly(REQUEST_CLASS_KEYS);
    return new RequestClass(EnumWords.read(object, RETRY_SAFETY, RetrySafety.values()),
        EnumWords.read(object, KEY_SCOPE, KeyScope.values()), object.ticks(KEY_TTL_MS),
        object.ticks(LATENCY_OBJECTIVE_MS), object.ticks(CLIENT_TIMEOUT_MS),
        object.number(CLASS_PRIORITY_WEIGHT));
  }

  private static Limits limits(JsonObjectReader object) throws MalformedMessageException {
    object.allowOnly(LIMIT_KEYS);
    return new Limits((int) object.integer(MAX_ATTEMPTS), object.ticks(MAX_RETRY_AFTER_MS));
  }

  private static SortedSet<Long> customers(JsonObjectReader object, String key)
      throws MalformedMessageException {
    SortedSet<Long> customers = new TreeSet<>();
    for (String word : object.strings(key)) {
      try {
        customers.add(Long.parseUnsignedLong(word, HEXADECIMAL));
      } catch (NumberFormatException e) {
        throw object.malformed(key, "expected a customer as a hexadecimal number of 64 bits, found "
            + Excerpt.quoted(word));
      }
    }
    return customers;
  }

  private static LeaseExpiryPolicy leaseExpiryPolicy(JsonObjectReader object)
      throws MalformedMessageException {
    return object.has(LEASE_EXPIRY_POLICY)
        ? EnumWords.read(object, LEASE_EXPIRY_POLICY, LeaseExpiryPolicy.values())
        : LeaseExpiryPolicy.REJECT_REQUESTS;
  }

  /** Returns the only encoding of a configuration. */
  public static String encode(SharedConfiguration configuration) {
    return toJson(configuration).toString();
  }

  /**
   * Returns a hash of everything but the version, as 16 hexadecimal digits. Configurations with the
   * same hash have the same contents.
   */
  public static String hash(SharedConfiguration configuration) {
    String text = encode(configuration.withVersion(ConfigurationVersion.NONE));
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256")
          .digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest, 0, HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every JDK provides SHA-256
    }
  }

  /** Encodes the keys in an order that is part of the format, because the hash depends on it. */
  static JsonObject toJson(SharedConfiguration configuration) {
    JsonObject object = new JsonObject();
    object.addProperty(EPOCH, configuration.version().epoch());
    object.addProperty(NUMBER, configuration.version().number());
    object.addProperty(LEASE_EXPIRY_POLICY, EnumWords.word(configuration.leaseExpiryPolicy()));
    object.add(LOCKED_KEYS, array(configuration.lockedKeys(), Function.identity()));
    object.add(QUOTA_PLANS, objects(configuration.quotaPlans(), ConfigurationCodec::toJson));
    object.add(REQUEST_CLASSES,
        objects(configuration.requestClasses(), ConfigurationCodec::toJson));
    object.add(LIMITS, toJson(configuration.limits()));
    object.add(EXCLUDED_SERVERS, array(configuration.excludedServers(), Function.identity()));
    object.add(BLOCKED_CUSTOMERS, array(configuration.blockedCustomers(), Long::toHexString));
    object.add(EXEMPT_CUSTOMERS, array(configuration.exemptCustomers(), Long::toHexString));
    object.add(MEMBERS, array(configuration.members(), Function.identity()));
    return object;
  }

  private static JsonObject toJson(QuotaPlan plan) {
    JsonObject object = new JsonObject();
    object.addProperty(RATE_PER_SECOND, plan.ratePerSecond());
    object.addProperty(BURST_UNITS, plan.burstUnits());
    object.addProperty(MAX_CONCURRENT, plan.maxConcurrent());
    object.addProperty(CEILING_PER_SECOND, plan.ceilingPerSecond());
    object.addProperty(CEILING_BURST_UNITS, plan.ceilingBurstUnits());
    object.addProperty(PLAN_PRIORITY_WEIGHT, plan.priorityWeight());
    return object;
  }

  private static JsonObject toJson(RequestClass requestClass) {
    JsonObject object = new JsonObject();
    object.addProperty(RETRY_SAFETY, EnumWords.word(requestClass.retrySafety()));
    object.addProperty(KEY_SCOPE, EnumWords.word(requestClass.keyScope()));
    object.addProperty(KEY_TTL_MS, Ticks.toMillis(requestClass.keyTtlTicks()));
    object.addProperty(LATENCY_OBJECTIVE_MS, Ticks.toMillis(requestClass.latencyObjectiveTicks()));
    object.addProperty(CLIENT_TIMEOUT_MS, Ticks.toMillis(requestClass.clientTimeoutTicks()));
    object.addProperty(CLASS_PRIORITY_WEIGHT, requestClass.priorityWeight());
    return object;
  }

  private static JsonObject toJson(Limits limits) {
    JsonObject object = new JsonObject();
    object.addProperty(MAX_ATTEMPTS, limits.maxAttempts());
    object.addProperty(MAX_RETRY_AFTER_MS, Ticks.toMillis(limits.maxRetryAfterTicks()));
    return object;
  }

  private static <T> JsonObject objects(Map<String, T> entries, Function<T, JsonObject> toJson) {
    JsonObject objects = new JsonObject();
    entries.forEach((name, entry) -> objects.add(name, toJson.apply(entry)));
    return objects;
  }

  private static <T> JsonArray array(Set<T> values, Function<T, String> word) {
    JsonArray array = new JsonArray();
    values.forEach(value -> array.add(word.apply(value)));
    return array;
  }
}
