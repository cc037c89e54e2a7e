package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Chooses the app server of an attempt by smooth weighted round robin. Inputs are each server's
 * weight, its capacity while it warms up, its slowness and its number of attempts in flight.
 *
 * <p>At each choice, every server that may receive the request gains its share of one turn as
 * credit. The server with the most credit that is not saturated receives the attempt and pays one
 * turn. The weight is divided by the square of the slowness, since the queue of a slow server
 * delays its answers further. A server whose warm-up budget is used up retains its credit;
 * otherwise it would have to wait first for its budget and then for its credit.
 *
 * <p>Guards against a server that pauses and accumulates the attempts sent to it (saturated), and
 * against credit that accumulates and is then spent in a burst. The rule does harm if the weights
 * in the endpoint list are far from the servers' real capacities.
 */
final class WeightedRoundRobinLoadBalancer {
  /** Smallest effective weight: a server listed with weight 0 still receives turns. */
  private static final double MIN_WEIGHT = 0.1;
  /** Largest absolute value of a server's credit, in turns. */
  private static final double MAX_CREDIT_TURNS = 2;
  /** A server is saturated above this multiple of its share of all attempts in flight. */
  private static final double SATURATION_SHARE_FACTOR = 2;
  /** Number of attempts in flight up to which a server is never saturated. */
  private static final double MAX_UNSATURATED_ATTEMPTS = 2;

  private final ServerList servers;
  private final SlowStart slowStart;
  private final OutlierDetection outliers;

  WeightedRoundRobinLoadBalancer(ServerList servers, SlowStart slowStart,
      OutlierDetection outliers) {
    this.servers = servers;
    this.slowStart = slowStart;
    this.outliers = outliers;
  }

  /** Returns the server for the request's next attempt; null if no server may receive it. */
  ServerState choose(RequestState request, long now) {
    if (request.attemptCount == 0) {
      slowStart.recordRequested(request.arrival.estimatedUnits());
    }
    List<ServerState> candidates = candidates(request);
    double[] weights = candidates.stream().mapToDouble(server -> weight(server, now)).toArray();
    ServerState chosen = rotate(candidates, weights, now);
    if (chosen != null) {
      chosen.rotationCredit -= 1;
    }
    return chosen;
  }

  /**
   * Returns the servers that may receive the request's next attempt. The second attempt excludes
   * the server of the first; later attempts may use it again.
   */
  private List<ServerState> candidates(RequestState request) {
    List<ServerState> candidates = new ArrayList<>();
    servers.forEach(server -> {
      boolean justTried = request.attemptCount == 1 && request.lastServer == server;
      if (server.ready && !justTried && RetryPolicy.sharesKeys(request, server)) {
        candidates.add(server);
      }
    });
    return candidates;
  }

  private double weight(ServerState server, long now) {
    double slowness = outliers.slownessWithSilence(server, now);
    return Math.max(MIN_WEIGHT, server.weight) * slowStart.capacity(server, now)
        / (slowness * slowness);
  }

  private ServerState rotate(List<ServerState> candidates, double[] weights, long now) {
    double totalWeight = 0;
    int inFlight = 1;
    for (int i = 0; i < weights.length; i++) {
      totalWeight += weights[i];
      inFlight += candidates.get(i).inFlight;
    }
    ServerState best = null;
    ServerState bestUnsaturated = null;
    for (int i = 0; i < weights.length; i++) {
      ServerState server = candidates.get(i);
      double share = weights[i] / totalWeight;
      server.rotationCredit = Math.max(-MAX_CREDIT_TURNS,
          Math.min(MAX_CREDIT_TURNS, server.rotationCredit + share));
      if (!slowStart.allows(server, servers.readyServers(), now)) {
        continue;
      }
      best = withMoreCredit(best, server);
      if (!isSaturated(server, inFlight, share)) {
        bestUnsaturated = withMoreCredit(bestUnsaturated, server);
      }
    }
    return bestUnsaturated != null ? bestUnsaturated : best;
  }

  /** Returns the server with more credit, or the first one if both have the same. */
  private static ServerState withMoreCredit(ServerState best, ServerState server) {
    return best == null || server.rotationCredit > best.rotationCredit ? server : best;
  }

  private static boolean isSaturated(ServerState server, int inFlight, double share) {
    return server.inFlight > MAX_UNSATURATED_ATTEMPTS
        && server.inFlight > SATURATION_SHARE_FACTOR * inFlight * share;
  }
}
