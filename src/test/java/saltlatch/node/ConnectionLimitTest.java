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

/** A crowd that connects while the node's loop is busy. */
@Timeout(60)
class ConnectionLimitTest extends NodeHarness {
  @Override
  String configurationJson() throws IOException {
    return super.configurationJson().replace("\"sockets\":1024", "\"sockets\":256");
  }

  private static long open() throws IOException {
    try (Stream<Path> all = Files.list(Path.of("/proc/self/fd"))) {
      return all.count();
    }
  }

  /**
   * No more is accepted than clients may hold, and the few of one look: else a crowd takes the
   * descriptors of the others.
   */
  @Test
  void acceptsNoMoreThanItMayHold() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    eventHandler = e -> {
      held.countDown();
      try {
        assertTrue(go.await(30, TimeUnit.SECONDS));
      } catch (InterruptedException i) {
        throw new IllegalStateException(i);
      }
    };
    Socket first = connectClient();
    send(first, queryCommand(0));
    assertTrue(held.await(20, TimeUnit.SECONDS));
    long before = open();
    for (int i = 0; i < 400; i++) connectClient();
    long accepted = 0;
    for (int i = 0; i < 20 && accepted <= 256; i++) {
      accepted = open() - before - 400;
      // the accepting thread's own time: what it has not taken in a second it leaves
      Thread.sleep(50);
    }
    go.countDown();
    assertTrue(accepted <= 110 + 32, accepted + " accepted, and clients may hold 110");
  }
}
