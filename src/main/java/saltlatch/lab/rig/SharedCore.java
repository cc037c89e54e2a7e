package saltlatch.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A core that nodes share with processes which use it all the time. Used from one thread; closing
 * it ends these processes.
 */
public final class SharedCore implements AutoCloseable {
  private final List<String> prefix;
  private final List<Process> busyProcesses = new ArrayList<>();

  /** Creates the core with this number, without busy processes. */
  public SharedCore(int core) {
    prefix = List.of("taskset", "-c", Integer.toString(core));
  }

  /** Returns the words in front of a command that runs on this core alone. */
  public List<String> prefix() {
    return prefix;
  }

  /** Starts processes that use the core until it is closed. */
  public void startBusyProcesses(int count) throws IOException {
    List<String> command = new ArrayList<>(prefix);
    command.addAll(List.of("sh", "-c", "while :; do :; done"));
    for (int i = 0; i < count; i++) busyProcesses.add(new ProcessBuilder(command).start());
  }

  @Override
  public void close() {
    busyProcesses.forEach(Process::destroyForcibly);
  }
}
