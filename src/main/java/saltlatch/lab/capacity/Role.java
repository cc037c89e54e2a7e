package saltlatch.lab.capacity;

import java.util.List;

/** One role of the deployment at the target's size. */
public interface Role {
  /** Name of its table on the page. */
  String table();

  /** Its figures, in the order of the page. */
  List<Row> rows(CapacityModel model);

  /** All roles, in the order of the page. */
  static List<Role> all() {
    return List.of(new EdgeNode(), new CounterService(), new ControlMachines(), new AppServer(),
        new LoadBalancer());
  }
}
