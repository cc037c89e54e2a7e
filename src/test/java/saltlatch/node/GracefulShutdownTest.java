package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Checks when a node stops serving after SIGTERM: as late as SIGKILL allows. SIGKILL follows after
 * the longest client timeout (3 s at most) plus 0.7 s. ShutdownTest runs the shutdown on sockets.
 */
class GracefulShutdownTest {
  private static GracefulShutdown.Schedule schedule(long... timeoutsAndObjectivesMs) {
    List<GatewaySettings.RequestClass> requestClasses = new ArrayList<>();
    for (int i = 0; i < timeoutsAndObjectivesMs.length; i += 2) {
      requestClasses.add(new GatewaySettings.RequestClass(GatewaySettings.RetrySafety.IDEMPOTENT,
          GatewaySettings.KeyScope.ALL, 0, timeoutsAndObjectivesMs[i + 1] * Ticks.PER_MILLISECOND,
          timeoutsAndObjectivesMs[i] * Ticks.PER_MILLISECOND, 1));
    }
    return GracefulShutdown.Schedule
        .of(new GatewaySettings(1, 1, 1, null, null, null, requestClasses, List.of()));
  }

  @Test
  void leavesTheLongestObjectiveForRequestsInFlight() {
    assertEquals(new GracefulShutdown.Schedule(1_300, 2_300), schedule(2_000, 1_000, 900, 300));
  }

  @Test
  void capsLongClientTimeoutsAtThreeSeconds() {
    assertEquals(new GracefulShutdown.Schedule(2_300, 3_300), schedule(60_000, 1_000));
  }

  @Test
  void servesAtLeastAsLongAsNewConnectionsArrive() {
    assertEquals(new GracefulShutdown.Schedule(500, 520), schedule(100, 1_000));
  }
}
