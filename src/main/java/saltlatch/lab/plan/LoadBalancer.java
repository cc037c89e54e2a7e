package saltlatch.lab.plan;

import java.util.Arrays;

/**
 * The decisions of a stand-in for the operators' front: it deals each customer's reqs in turn among
 * the nodes of its set that are in. A node is in from its first answer to PING on, and out once it
 * has answered none for the time to notice. No I/O, no clock.
 */
public final class LoadBalancer {
  private final double detectionMs;
  private final double[] answeredMs;
  private final int[] turn;

  public LoadBalancer(int nodes, double detectionMs) {
    this.detectionMs = detectionMs;
    answeredMs = new double[nodes];
    Arrays.fill(answeredMs, Double.NEGATIVE_INFINITY);
    turn = new int[nodes];
  }

  /** Node {@code node} has answered PING with PONG. */
  public void recordPong(int node, double ms) {
    answeredMs[node] = ms;
  }

  public boolean isHealthy(int node, double ms) {
    return ms - answeredMs[node] <= detectionMs;
  }

  /**
   * The node for the next req of a customer whose set is {@code spread} nodes from {@code first}
   * on; below 0: none is in.
   */
  public int route(int first, int spread, double ms) {
    for (int i = 0; i < spread; i++) {
      int node = (first + turn[first]++ % spread) % answeredMs.length;
      if (isHealthy(node, ms)) return node;
    }
    return -1;
  }
}
