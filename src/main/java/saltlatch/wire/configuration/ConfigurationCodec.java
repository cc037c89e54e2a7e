package saltlatch.wire.configuration;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import saltlatch.api.GatewaySettings;
import saltlatch.configuration.ConfigurationFollower;
import saltlatch.configuration.ConfigurationVersion;
import saltlatch.configuration.SharedConfiguration;

/**
 * The form of rule sets, of nodes' reports and of keepers' answers: JSON, times in ms, customers in
 * hexadecimal. What is unknown, missing or of another kind is refused with its key: a misspelt rule
 * must not pass quietly. One rule set has one text, and so one hash.
 */
public final class ConfigurationCodec {
  /** What is wrong, and at which key. */
  public static final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    Malformed(String what) {
      super(what);
    }
  }

  private static final double TENTHS = 10; // of a ms in one
  // characters of one rule set: far above any fleet's, far below a keeper's memory
  private static final int LONGEST = 1 << 20;

  /** The form's words for the values that have other names in the code. */
  private static final Map<Enum<?>, String> WORDS = Map.of(GatewaySettings.RetrySafety.IDEMPOTENT,
      "replayable", GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY, "uniqued",
      GatewaySettings.RetrySafety.NOT_IDEMPOTENT, "non_replayable", GatewaySettings.KeyScope.GROUP,
      "cell");

  private ConfigurationCodec() {}

  // ---- rule sets

  public static SharedConfiguration read(String text) throws Malformed {
    if (text.length() > LONGEST) throw new Malformed("longer than " + LONGEST + " characters");
    return rules(new Part("", parsed(text)));
  }

  private static SharedConfiguration rules(Part p) throws Malformed {
    p.only("epoch", "number", "expired", "pins", "plans", "frontends", "limits", "held_out",
        "barred", "exempt", "roster");
    Map<String, GatewaySettings.QuotaPlan> plans = new TreeMap<>();
    for (Part e : p.part("plans").parts()) plans.put(e.name(), plan(e));
    Map<String, GatewaySettings.RequestClass> frontends = new TreeMap<>();
    for (Part e : p.part("frontends").parts()) frontends.put(e.name(), frontend(e));
    Part limits = p.part("limits");
    limits.only("send_cap", "longest_pause_ms");
    return new SharedConfiguration(
        new ConfigurationVersion(p.whole("epoch"), p.has("number") ? p.whole("number") : 0), plans,
        frontends,
        new SharedConfiguration.Limits((int) limits.whole("send_cap"),
            limits.tenths("longest_pause_ms")),
        p.words("held_out"), customers(p, "barred"), customers(p, "exempt"), p.words("roster"),
        p.words("pins"), p.has("expired") ? p.one("expired", SharedConfiguration.Expired.values())
            : SharedConfiguration.Expired.DENY);
  }

  private static GatewaySettings.QuotaPlan plan(Part p) throws Malformed {
    p.only("rate", "burst", "parallel", "ceiling_rate", "ceiling_burst", "price");
    return new GatewaySettings.QuotaPlan(p.number("rate"), p.number("burst"),
        (int) p.whole("parallel"), p.number("ceiling_rate"), p.number("ceiling_burst"),
        p.number("price"));
  }

  private static GatewaySettings.RequestClass frontend(Part p) throws Malformed {
    p.only("effect", "group", "remembered_ms", "target_ms", "client_timeout_ms", "value");
    return new GatewaySettings.RequestClass(p.one("effect", GatewaySettings.RetrySafety.values()),
        p.one("group", GatewaySettings.KeyScope.values()), p.tenths("remembered_ms"),
        p.tenths("target_ms"), p.tenths("client_timeout_ms"), p.number("value"));
  }

  private static SortedSet<Long> customers(Part p, String key) throws Malformed {
    SortedSet<Long> out = new TreeSet<>();
    for (String word : p.words(key)) {
      try {
        out.add(Long.parseUnsignedLong(word, 16));
      } catch (NumberFormatException e) {
        throw new Malformed(p.at(key) + ": " + word + " is no customer");
      }
    }
    return out;
  }

  public static String write(SharedConfiguration r) {
    return object(r).toString();
  }

  private static JsonObject object(SharedConfiguration r) {
    JsonObject o = new JsonObject();
    o.addProperty("epoch", r.version().epoch());
    o.addProperty("number", r.version().number());
    o.addProperty("expired", word(r.expired()));
    o.add("pins", array(r.pins(), w -> w));
    JsonObject plans = new JsonObject();
    r.plans().forEach((name, p) -> {
      JsonObject e = new JsonObject();
      e.addProperty("rate", p.ratePerSecond());
      e.addProperty("burst", p.burstUnits());
      e.addProperty("parallel", p.maxConcurrent());
      e.addProperty("ceiling_rate", p.ceilingPerSecond());
      e.addProperty("ceiling_burst", p.ceilingBurstUnits());
      e.addProperty("price", p.priorityWeight());
      plans.add(name, e);
    });
    o.add("plans", plans);
    JsonObject frontends = new JsonObject();
    r.frontends().forEach((name, f) -> {
      JsonObject e = new JsonObject();
      e.addProperty("effect", word(f.retrySafety()));
      e.addProperty("group", word(f.keyScope()));
      e.addProperty("remembered_ms", f.keyTtlTicks() / TENTHS);
      e.addProperty("target_ms", f.latencyObjectiveTicks() / TENTHS);
      e.addProperty("client_timeout_ms", f.clientTimeoutTicks() / TENTHS);
      e.addProperty("value", f.priorityWeight());
      frontends.add(name, e);
    });
    o.add("frontends", frontends);
    JsonObject limits = new JsonObject();
    limits.addProperty("send_cap", r.limits().sendCap());
    limits.addProperty("longest_pause_ms", r.limits().longestPause() / TENTHS);
    o.add("limits", limits);
    o.add("held_out", array(r.heldOut(), w -> w));
    o.add("barred", array(r.barred(), Long::toHexString));
    o.add("exempt", array(r.exempt(), Long::toHexString));
    o.add("roster", array(r.roster(), w -> w));
    return o;
  }

  /** Of the text without its version: two versions of one hash hold the same rules. */
  public static String hash(SharedConfiguration r) {
    try {
      byte[] sum = MessageDigest.getInstance("SHA-256")
          .digest(write(r.as(ConfigurationVersion.NONE)).getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sum, 0, 8);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every JDK has it
    }
  }

  // ---- renewals

  public static String write(ConfigurationFollower.Report r) {
    JsonObject o = new JsonObject();
    o.addProperty("node", r.node());
    o.addProperty("acts", r.acts().toString());
    o.addProperty("prepared", r.prepared().toString());
    if (r.rejected() != null) {
      o.addProperty("rejected", r.rejected().toString());
      o.addProperty("reason", r.reason());
    }
    return o.toString();
  }

  public static ConfigurationFollower.Report report(String text) throws Malformed {
    Part p = new Part("", parsed(text));
    p.only("node", "acts", "prepared", "rejected", "reason");
    boolean rejects = p.has("rejected");
    return new ConfigurationFollower.Report(p.word("node"), version(p, "acts"),
        version(p, "prepared"), rejects ? version(p, "rejected") : null,
        rejects ? p.word("reason") : null);
  }

  public static String write(ConfigurationFollower.Answer a) {
    JsonObject o = new JsonObject();
    o.addProperty("in_force", a.inForce().toString());
    if (a.text() != null) o.add("rules", object(a.text()));
    if (a.offered() != null) o.add("offered", object(a.offered()));
    return o.toString();
  }

  public static ConfigurationFollower.Answer answer(String text) throws Malformed {
    Part p = new Part("", parsed(text));
    p.only("in_force", "rules", "offered");
    return new ConfigurationFollower.Answer(version(p, "in_force"),
        p.has("rules") ? rules(p.part("rules")) : null,
        p.has("offered") ? rules(p.part("offered")) : null);
  }

  private static JsonElement parsed(String text) throws Malformed {
    try {
      return JsonParser.parseString(text);
    } catch (JsonParseException e) {
      throw new Malformed("no JSON: " + e.getMessage());
    }
  }

  private static ConfigurationVersion version(Part p, String key) throws Malformed {
    try {
      return ConfigurationVersion.of(p.word(key));
    } catch (IllegalArgumentException e) {
      throw new Malformed(p.at(key) + ": " + e.getMessage());
    }
  }

  private static String word(Enum<?> e) {
    return WORDS.getOrDefault(e, e.name().toLowerCase(Locale.ROOT));
  }

  private static <T> JsonArray array(Set<T> of, Function<T, String> word) {
    JsonArray out = new JsonArray();
    of.forEach(e -> out.add(word.apply(e)));
    return out;
  }

  /** A JSON object and where it stands. */
  private record Part(String path, JsonElement element) {
    Part {
      if (element == null) element = new JsonObject();
    }

    String at(String key) {
      return path.isEmpty() ? key : path + "." + key;
    }

    String name() {
      return path.substring(path.lastIndexOf('.') + 1);
    }

    private JsonObject object() throws Malformed {
      if (!element.isJsonObject())
        throw new Malformed((path.isEmpty() ? "the whole" : path) + ": no object");
      return element.getAsJsonObject();
    }

    void only(String... keys) throws Malformed {
      for (String key : object().keySet())
        if (!List.of(keys).contains(key)) throw new Malformed(at(key) + ": not known");
    }

    boolean has(String key) throws Malformed {
      return object().has(key) && !object().get(key).isJsonNull();
    }

    private JsonElement get(String key) throws Malformed {
      if (!has(key)) throw new Malformed(at(key) + ": missing");
      return object().get(key);
    }

    Part part(String key) throws Malformed {
      return new Part(at(key), get(key));
    }

    List<Part> parts() throws Malformed {
      return object().entrySet().stream().map(e -> new Part(at(e.getKey()), e.getValue())).toList();
    }

    String word(String key) throws Malformed {
      JsonElement e = get(key);
      if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString())
        throw new Malformed(at(key) + ": no word");
      return e.getAsString();
    }

    double number(String key) throws Malformed {
      if (!has(key)) return 0;
      JsonElement e = get(key);
      if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isNumber())
        throw new Malformed(at(key) + ": no number");
      double n = e.getAsDouble();
      if (!Double.isFinite(n) || n < 0) throw new Malformed(at(key) + ": from 0 on");
      return n;
    }

    long whole(String key) throws Malformed {
      double n = number(key);
      if (n != Math.rint(n) || n > 1L << 53) throw new Malformed(at(key) + ": a whole number");
      return (long) n;
    }

    long tenths(String key) throws Malformed {
      return Math.round(number(key) * TENTHS);
    }

    <E extends Enum<E>> E one(String key, E[] of) throws Malformed {
      String word = word(key);
      for (E e : of) if (ConfigurationCodec.word(e).equals(word)) return e;
      throw new Malformed(at(key) + ": " + word + " is none of "
          + List.of(of).stream().map(ConfigurationCodec::word).toList());
    }

    SortedSet<String> words(String key) throws Malformed {
      SortedSet<String> out = new TreeSet<>();
      if (!has(key)) return out;
      if (!get(key).isJsonArray()) throw new Malformed(at(key) + ": no list");
      for (JsonElement e : get(key).getAsJsonArray()) {
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString())
          throw new Malformed(at(key) + ": words alone");
        out.add(e.getAsString());
      }
      return out;
    }
  }
}
