package saltlatch.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.net.SocketAddress;
import org.junit.jupiter.api.Test;

/** Tests parsing of addresses in configurations and endpoint lists. */
class TcpConnectorTest {
  @Test
  void parsesHostAndPort() {
    SocketAddress address = TcpConnector.parseAddress("node-1.example:6379");
    assertEquals("node-1.example 6379", address.host() + " " + address.port());
  }

  @Test
  void rejectsInvalidAddresses() {
    for (String text : new String[] {"", "host", ":6379", "host:", "host:x"}) {
      assertThrows(IllegalArgumentException.class, () -> TcpConnector.parseAddress(text), text);
    }
  }
}
