package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Which app server gets an attempt: a smooth weighted round robin. Inputs: each server's weight,
 * its capacity while it warms up, its slowness, what is in flight there.
 *
 * <p>At each choice every server that may take the request gains its part of a turn as credit; the
 * one with the most credit that isn't saturated gets the attempt and pays a turn. The weight is
 * divided by the square of the slowness, since a slow server is slower still by its queue. A server
 * whose warm-up budget is used up keeps its credit: else it would wait for its part and then again.
 * Guards against a server that pauses and piles up what it is sent (saturated), and against credit
 * that is saved up and spent in a rush. Harms where the list's weights are far from the truth.
 */
final class WeightedRoundRobinLoadBalancer {
  /** Smallest weight taken from the list: a server listed with 0 still gets turns. */
  private static final double MIN_WEIGHT = 0.1;
  /** Turns that a server's credit may be ahead or behind. */
  private static final double MAX_CREDIT_TURNS = 2;
  /** Times its part of what is in flight from which on a server is saturated. */
  private static final double SATURATED_PART = 2;
  /** Attempts in flight that never make a server saturated. */
  private static final double NEVER_SATURATED_ATTEMPTS = 2;

  private final ServerList servers;
  private final SlowStart slowStart;
  private final OutlierDetection outliers;

  WeightedRoundRobinLoadBalancer(ServerList servers, SlowStart slowStart,
      OutlierDetection outliers) {
    this.servers = servers;
    this.slowStart = slowStart;
    this.outliers = outliers;
  }

  /** The server for the request's next attempt; null if none may take it. */
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

  /** The second attempt goes elsewhere; later ones may come back. */
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
    ServerState richest = null;
    ServerState richestNotSaturated = null;
    for (int i = 0; i < weights.length; i++) {
      ServerState server = candidates.get(i);
      double part = weights[i] / totalWeight;
      server.rotationCredit = Math.max(-MAX_CREDIT_TURNS,
          Math.min(MAX_CREDIT_TURNS, server.rotationCredit + part));
      if (!slowStart.allows(server, servers.readyServers(), now)) {
        continue;
      }
      richest = richer(richest, server);
      if (!isSaturated(server, inFlight, part)) {
        richestNotSaturated = richer(richestNotSaturated, server);
      }
    }
    return richestNotSaturated != null ? richestNotSaturated : richest;
  }

  /** The first of two that are equal. */
  private static ServerState richer(ServerState richest, ServerState server) {
    return richest == null || server.rotationCredit > richest.rotationCredit ? server : richest;
  }

  private static boolean isSaturated(ServerState server, int inFlight, double part) {
    return server.inFlight > NEVER_SATURATED_ATTEMPTS
        && server.inFlight > SATURATED_PART * inFlight * part;
  }
}
