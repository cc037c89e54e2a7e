package saltlatch.lab.capacity;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.annotations.SerializedName;

/**
 * The cost of a calm day on the operators' bench: one JSON line of
 * docs/capacity/bench-prices.jsonl, copied from the bench's output. The bench runs real edge nodes
 * with simulated clients and app servers.
 *
 * @param deployment  the operators' name of the deployment
 * @param day         name of the day
 * @param nodes       number of edge nodes in the run
 * @param seed        seed of the run, or null if it was not recorded
 * @param commit      commit that was run
 * @param overQuota   the bench's price {@code over_quota}, as a fraction of the worth offered
 * @param beyondLeast smallest fraction of units beyond quotas in a step of 5 s, over the steps that
 *     reported any; 0 if none did
 * @param beyondMost  largest fraction of units beyond quotas in a step of 5 s; 0 if no step
 *     reported any
 * @param source      origin of the figures
 */
public record BenchDay(String deployment, String day, int nodes, Long seed, String commit,
    double overQuota, double beyondLeast, double beyondMost,
    @SerializedName("from") String source) {
  private static final Gson JSON = new GsonBuilder()
      .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).create();

  /** Parses one JSON line. */
  public static BenchDay parse(String text) {
    BenchDay day = JSON.fromJson(text, BenchDay.class);
    if (day.deployment == null || day.commit == null || day.source == null || day.nodes < 1) {
      throw new IllegalArgumentException("deployment, commit and from are required"
          + " and nodes must be at least 1, found nodes " + day.nodes);
    }
    return day;
  }
}
