package saltlatch.lab.capacity;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/**
 * What a day without a fault cost on the operators' bench, a JSON line in docs/capacity/bench-prices.jsonl. Simulated
 * clients and app servers, real nodes; a copy of what the bench wrote.
 *
 * @param deployment  its name at the operators'
 * @param day         the day's name
 * @param nodes       edge nodes played
 * @param seed        of the play
 * @param commit      the text played
 * @param overQuota   price {@code over_quota}, a part of the worth offered
 * @param beyondLeast least part of the units beyond quotas in steps of 5 s that told of any; 0: none did
 * @param beyondMost  the most of them
 */
public record BenchDay(String deployment, String day, int nodes, long seed, String commit, double overQuota,
    double beyondLeast, double beyondMost) {

  /** Reads a line. */
  public static BenchDay parse(String text) {
    JsonObject line = JsonParser.parseString(text).getAsJsonObject();
    return new BenchDay(line.get("deployment").getAsString(), line.get("day").getAsString(),
        line.get("nodes").getAsInt(), line.get("seed").getAsLong(), line.get("commit").getAsString(),
        line.get("over_quota").getAsDouble(), line.get("beyond_least").getAsDouble(),
        line.get("beyond_most").getAsDouble());
  }
}
