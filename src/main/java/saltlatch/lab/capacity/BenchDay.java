package saltlatch.lab.capacity;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.annotations.SerializedName;

/**
 * What a calm day cost on the operators' bench, a JSON line in docs/capacity/bench-prices.jsonl.
 * Simulated clients and app servers, real nodes; a copy of what the bench wrote.
 *
 * @param deployment  its name at the operators'
 * @param day         the day's name
 * @param nodes       edge nodes played
 * @param seed        of the play; null: not told
 * @param commit      the text played
 * @param overQuota   price {@code over_quota}, a part of the worth offered
 * @param beyondLeast least part of the units beyond quotas in those steps of 5 s that told of any;
 *     0: none did
 * @param beyondMost  the most of them
 * @param source      where the figures stand
 */
public record BenchDay(String deployment, String day, int nodes, Long seed, String commit,
    double overQuota, double beyondLeast, double beyondMost,
    @SerializedName("from") String source) {
  private static final Gson JSON = new GsonBuilder()
      .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).create();

  /** Reads a line. */
  public static BenchDay parse(String text) {
    BenchDay day = JSON.fromJson(text, BenchDay.class);
    if (day.deployment == null || day.commit == null || day.source == null || day.nodes < 1) {
      throw new IllegalArgumentException("wants deployment, commit, from and nodes");
    }
    return day;
  }
}
