package saltlatch.lab.plan;

import java.util.Arrays;

/**
 * The routing decisions of an emulated load balancer in front of the edge nodes. It sends each
 * customer's requests round-robin to the healthy nodes of the customer's set. A node is healthy
 * from its first answer to PING on, and unhealthy once it has answered no PING for the detection
 * time. The class does no I/O and reads no clock.
 */
public final class LoadBalancer {
  private final double detectionMs;
  private final double[] lastPongMs;
  // For each first node of a set, the number of nodes tried so far: the round-robin position.
  private final int[] nextOffset;

  /** Creates a load balancer for {@code nodes} nodes, none of which is healthy yet. */
  public LoadBalancer(int nodes, double detectionMs) {
    this.detectionMs = detectionMs;
    lastPongMs = new double[nodes];
    Arrays.fill(lastPongMs, Double.NEGATIVE_INFINITY);
    nextOffset = new int[nodes];
  }

  /** Records that the node answered PING with PONG at {@code ms}. */
  public void recordPong(int node, double ms) {
    lastPongMs[node] = ms;
  }

  /** Returns whether the node answered a PING within the detection time before {@code ms}. */
  public boolean isHealthy(int node, double ms) {
    return ms - lastPongMs[node] <= detectionMs;
  }

  /**
   * Returns the node for the next request of a customer whose set is {@code spread} consecutive
   * nodes from {@code first} on, or -1 if none of them is healthy.
   */
  public int route(int first, int spread, double ms) {
    for (int i = 0; i < spread; i++) {
      int node = (first + nextOffset[first]++ % spread) % lastPongMs.length;
      if (isHealthy(node, ms)) return node;
    }
    return -1;
  }
}
