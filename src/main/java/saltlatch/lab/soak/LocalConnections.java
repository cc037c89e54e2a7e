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
  private static final int REMOTE_ADDRESS_FIELD = 2;
  private static final int STATE_FIELD = 3;
  /** Of net/tcp_states.h: the other side has ended the connection and has not reset it. */
  private static final String CLOSE_WAIT = "08";
  private static final int HEXADECIMAL = 16;

  private LocalConnections() {}

  /**
   * A connection of this machine to itself, as one side sees it. The local port alone does not tell
   * it apart: Linux gives the same one to connections to different ports.
   */
  record Connection(int localPort, int remotePort) {}

  /**
   * Returns the connections whose other side has ended its output only. One that was reset is not
   * among them.
   *
   * @throws IOException if the tables can't be read
   */
  static Set<Connection> inCloseWait() throws IOException {
    Set<Connection> connections = new HashSet<>();
    for (Path table : TABLES) {
      if (Files.exists(table)) addInCloseWait(Files.readAllLines(table), connections);
    }
    return connections;
  }

  private static void addInCloseWait(List<String> lines, Set<Connection> connections) {
    for (String line : lines.subList(1, lines.size())) {
      String[] fields = line.trim().split(" +", -1);
      if (!fields[STATE_FIELD].equals(CLOSE_WAIT)) continue;
      connections.add(new Connection(portOf(fields[LOCAL_ADDRESS_FIELD]),
          portOf(fields[REMOTE_ADDRESS_FIELD])));
    }
  }

  private static int portOf(String address) {
    return Integer.parseInt(address.substring(address.indexOf(':') + 1), HEXADECIMAL);
  }
}
