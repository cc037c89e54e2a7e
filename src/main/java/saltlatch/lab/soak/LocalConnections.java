package saltlatch.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The states of this machine's TCP connections, from {@code /proc/net}. Shows whether a connection
 * that the other side has ended was also reset, without sending anything on it. Linux only.
 */
final class LocalConnections {
  private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"),
      Path.of("/proc/net/tcp6"));
  private static final int LOCAL_ADDRESS_FIELD = 1;
  private static final int STATE_FIELD = 3;
  /** Of net/tcp_states.h: the other side has ended the connection and has not reset it. */
  private static final String CLOSE_WAIT = "08";
  private static final int HEXADECIMAL = 16;

  private LocalConnections() {}

  /**
   * Returns the local ports of the connections whose other side has ended its output only. The port
   * of a connection that was reset is not among them.
   *
   * @throws IOException if the tables can't be read
   */
  static Set<Integer> portsInCloseWait() throws IOException {
    Set<Integer> ports = new HashSet<>();
    for (Path table : TABLES) {
      if (Files.exists(table)) addPortsInCloseWait(Files.readAllLines(table), ports);
    }
    return ports;
  }

  private static void addPortsInCloseWait(List<String> lines, Set<Integer> ports) {
    for (String line : lines.subList(1, lines.size())) {
      String[] fields = line.trim().split(" +", -1);
      if (!fields[STATE_FIELD].equals(CLOSE_WAIT)) continue;
      String address = fields[LOCAL_ADDRESS_FIELD];
      String port = address.substring(address.indexOf(':') + 1);
      ports.add(Integer.parseInt(port, HEXADECIMAL));
    }
  }
}
