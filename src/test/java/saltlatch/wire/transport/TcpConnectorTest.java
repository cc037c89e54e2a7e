package saltlatch.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.net.SocketAddress;
import org.junit.jupiter.api.Test;

/** Addresses in configurations and endpoint lists. */
class TcpConnectorTest {
  @Test
  void readsHostAndPort() {
    SocketAddress address = TcpConnector.parseAddress("node-1.example:6379");
    assertEquals("node-1.example 6379", address.host() + " " + address.port());
  }

  @Test
  void refusesWhatIsNoAddress() {
    for (String text : new String[] {"", "host", ":6379", "host:", "host:x"}) {
      assertThrows(IllegalArgumentException.class, () -> TcpConnector.parseAddress(text), text);
    }
  }
}
