package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many clients connect while the node's event loop is blocked. */
@Timeout(60)
class ConnectionLimitTest extends NodeHarness {
  @Override
  String configurationJson() throws IOException {
    return super.configurationJson().replace("\"sockets\":1024", "\"sockets\":256");
  }

  private static long openDescriptors() throws IOException {
    try (Stream<Path> descriptors = Files.list(Path.of("/proc/self/fd"))) {
      return descriptors.count();
    }
  }

  /**
   * The node accepts no more connections than clients may hold (110), plus the few that one look at
   * the backlog takes (32). Otherwise many clients could use up the descriptors that the node needs
   * for app servers, the counter and discovery.
   */
  @Test
  void acceptsNoMoreConnectionsThanClientsMayHold() throws Exception {
    CountDownLatch loopBlocked = new CountDownLatch(1);
    CountDownLatch releaseLoop = new CountDownLatch(1);
    eventHandler = event -> {
      loopBlocked.countDown();
      try {
        assertTrue(releaseLoop.await(30, TimeUnit.SECONDS));
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    };
    Socket blockingClient = connectClient();
    send(blockingClient, queryCommand(0));
    assertTrue(loopBlocked.await(20, TimeUnit.SECONDS));
    long descriptorsBefore = openDescriptors();
    for (int i = 0; i < 400; i++) connectClient();
    long accepted = 0;
    for (int i = 0; i < 20 && accepted <= 256; i++) {
      accepted = openDescriptors() - descriptorsBefore - 400;
      // the accepting thread runs on its own; what it has not accepted within 1 s stays unaccepted
      Thread.sleep(50);
    }
    releaseLoop.countDown();
    assertTrue(accepted <= 110 + 32, accepted + " accepted, but clients may hold 110");
  }
}
