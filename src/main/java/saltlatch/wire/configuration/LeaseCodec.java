package saltlatch.wire.configuration;

import com.google.gson.JsonObject;
import java.util.List;
import saltlatch.configuration.ConfigurationVersion;
import saltlatch.configuration.LeaseRenewal;
import saltlatch.configuration.LeaseResponse;
import saltlatch.wire.Excerpt;
import saltlatch.wire.MalformedMessageException;

/** Encodes lease renewals and the quorum's responses as JSON, and decodes them. */
public final class LeaseCodec {
  private static final String NODE = "node";
  private static final String ACTIVE = "acts";
  private static final String PREPARED = "prepared";
  private static final String REJECTED = "rejected";
  private static final String REASON = "reason";
  private static final List<String> RENEWAL_KEYS = List.of(NODE, ACTIVE, PREPARED, REJECTED,
      REASON);

  private static final String ACTIVE_VERSION = "in_force";
  private static final String ACTIVE_CONFIGURATION = "rules";
  private static final String PROPOSED = "offered";
  private static final List<String> RESPONSE_KEYS = List.of(ACTIVE_VERSION, ACTIVE_CONFIGURATION,
      PROPOSED);

  private LeaseCodec() {}

  /** Returns the JSON text of a renewal. */
  public static String encode(LeaseRenewal renewal) {
    JsonObject object = new JsonObject();
    object.addProperty(NODE, renewal.node());
    object.addProperty(ACTIVE, renewal.active().toString());
    object.addProperty(PREPARED, renewal.prepared().toString());
    if (renewal.rejected() != null) {
      object.addProperty(REJECTED, renewal.rejected().toString());
      object.addProperty(REASON, renewal.reason());
    }
    return object.toString();
  }

  /**
   * Decodes a renewal.
   *
   * @throws MalformedMessageException if the text is malformed; names the key and the problem
   */
  public static LeaseRenewal decodeRenewal(String text) throws MalformedMessageException {
    JsonObjectReader object = JsonObjectReader.ofText(text);
    object.allowOnly(RENEWAL_KEYS);
    boolean rejects = object.has(REJECTED);
    return new LeaseRenewal(object.string(NODE), version(object, ACTIVE), version(object, PREPARED),
        rejects ? version(object, REJECTED) : null, rejects ? object.string(REASON) : null);
  }

  /** Returns the JSON text of a response. */
  public static String encode(LeaseResponse response) {
    JsonObject object = new JsonObject();
    object.addProperty(ACTIVE_VERSION, response.activeVersion().toString());
    if (response.active() != null)
      object.add(ACTIVE_CONFIGURATION, ConfigurationCodec.toJson(response.active()));
    if (response.proposed() != null)
      object.add(PROPOSED, ConfigurationCodec.toJson(response.proposed()));
    return object.toString();
  }

  /**
   * Decodes a response.
   *
   * @throws MalformedMessageException if the text is malformed; names the key and the problem
   */
  public static LeaseResponse decodeResponse(String text) throws MalformedMessageException {
    JsonObjectReader object = JsonObjectReader.ofText(text);
    object.allowOnly(RESPONSE_KEYS);
    return new LeaseResponse(version(object, ACTIVE_VERSION),
        object.has(ACTIVE_CONFIGURATION)
            ? ConfigurationCodec.decode(object.child(ACTIVE_CONFIGURATION)) : null,
        object.has(PROPOSED) ? ConfigurationCodec.decode(object.child(PROPOSED)) : null);
  }

  private static ConfigurationVersion version(JsonObjectReader object, String key)
      throws MalformedMessageException {
    String word = object.string(key);
    try {
      return ConfigurationVersion.parse(word);
    } catch (IllegalArgumentException e) {
      throw object.malformed(key,
          "expected a version as EPOCH.NUMBER, found " + Excerpt.quoted(word));
    }
  }
}
