package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * When a node that was told to end stops serving: as late as SIGKILL allows, which comes the
 * longest client timeout (3 s at most) and 0.7 s after SIGTERM. ShutdownTest plays it on sockets.
 */
class GracefulShutdownTest {
  private static GracefulShutdown.Schedule schedule(long... timeoutAndObjectiveMs) {
    List<GatewaySettings.RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < timeoutAndObjectiveMs.length; i += 2) {
      classes.add(new GatewaySettings.RequestClass(GatewaySettings.RetrySafety.IDEMPOTENT,
          GatewaySettings.KeyScope.ALL, 0, timeoutAndObjectiveMs[i + 1] * Ticks.PER_MILLISECOND,
          timeoutAndObjectiveMs[i] * Ticks.PER_MILLISECOND, 1));
    }
    return GracefulShutdown.Schedule
        .of(new GatewaySettings(1, 1, 1, null, null, null, classes, List.of()));
  }

  @Test
  void leavesTheLongestObjectiveForWhatIsInFlight() {
    assertEquals(new GracefulShutdown.Schedule(1_300, 2_300), schedule(2_000, 1_000, 900, 300));
  }

  @Test
  void longClientTimeoutsCountNoMoreThanThreeSeconds() {
    assertEquals(new GracefulShutdown.Schedule(2_300, 3_300), schedule(60_000, 1_000));
  }

  @Test
  void servesAtLeastAsLongAsNewConnectionsCome() {
    assertEquals(new GracefulShutdown.Schedule(500, 520), schedule(100, 1_000));
  }
}
