package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario.ProcessFault;

/**
 * Converts the process faults of a scenario into steps in ascending order of time. Each step is
 * one action on one or more nodes. The class does no I/O.
 */
public final class Timeline {
  /**
   * An action on a node's process: a signal, or a start with the current configuration ({@code
   * START}) or with an older one ({@code START_OLD}).
   */
  public enum Action {
    KILL,
    TERM,
    STOP,
    CONT,
    START,
    START_OLD
  }

  /** An action on all of {@code nodes} at the same time, {@code atMs} ms after the load starts. */
  public record Step(double atMs, Action action, List<Integer> nodes) {}

  private Timeline() {}

  /**
   * Returns the steps of the faults for a run with {@code nodeCount} nodes, in ascending order of
   * time.
   */
  public static List<Step> of(List<ProcessFault> faults, int nodeCount) {
    List<Step> steps = new ArrayList<>();
    for (ProcessFault fault : faults) {
      List<Integer> affected = Group.of(fault.nodes()).nodes(nodeCount);
      if (fault.stepS() <= 0) {
        add(steps, fault, fault.atS() * 1000, affected);
        continue;
      }
      for (int i = 0; i < affected.size(); i++)
        add(steps, fault, (fault.atS() + i * fault.stepS()) * 1000, List.of(affected.get(i)));
    }
    // The sort is stable: steps at the same time keep the order of their faults.
    steps.sort(Comparator.comparingDouble(Step::atMs));
    return steps;
  }

  private static void add(List<Step> steps, ProcessFault fault, double atMs,
      List<Integer> affected) {
    switch (fault.kind()) {
      case "kill" -> steps.add(new Step(atMs, Action.KILL, affected));
      case "term" -> steps.add(new Step(atMs, Action.TERM, affected));
      default -> { // pause
        steps.add(new Step(atMs, Action.STOP, affected));
        if (fault.forS() > 0)
          steps.add(new Step(atMs + fault.forS() * 1000, Action.CONT, affected));
      }
    }
    if (fault.restart()) {
      steps.add(new Step(atMs + fault.backS() * 1000,
          fault.oldConfig() ? Action.START_OLD : Action.START, affected));
    }
  }
}
