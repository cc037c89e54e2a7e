package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario.ProcessFault;

/**
 * The scenario's process faults as single steps in order of time, all of one instant together. No
 * I/O.
 */
public final class Timeline {
  /** What is done to a process. */
  public enum Action {
    KILL,
    TERM,
    STOP,
    CONT,
    START,
    START_OLD
  }

  /** At {@code atMs} from the load's start, to these nodes at once. */
  public record Step(double atMs, Action action, List<Integer> nodes) {}

  private Timeline() {}

  public static List<Step> of(List<ProcessFault> faults, int nodes) {
    List<Step> steps = new ArrayList<>();
    for (ProcessFault f : faults) {
      List<Integer> hit = Group.of(f.nodes()).nodes(nodes);
      if (f.stepS() <= 0) {
        add(steps, f, f.atS() * 1000, hit);
        continue;
      }
      for (int i = 0; i < hit.size(); i++)
        add(steps, f, (f.atS() + i * f.stepS()) * 1000, List.of(hit.get(i)));
    }
    // stable: the faults' order holds within an instant
    steps.sort(Comparator.comparingDouble(Step::atMs));
    return steps;
  }

  private static void add(List<Step> steps, ProcessFault f, double at, List<Integer> hit) {
    switch (f.kind()) {
      case "kill" -> steps.add(new Step(at, Action.KILL, hit));
      case "term" -> steps.add(new Step(at, Action.TERM, hit));
      default -> {
        steps.add(new Step(at, Action.STOP, hit));
        if (f.forS() > 0) steps.add(new Step(at + f.forS() * 1000, Action.CONT, hit));
      }
    }
    if (f.restart()) steps
        .add(new Step(at + f.backS() * 1000, f.oldConfig() ? Action.START_OLD : Action.START, hit));
  }
}
