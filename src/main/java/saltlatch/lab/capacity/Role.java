package saltlatch.lab.capacity;

import java.util.List;

/** One role of the deployment, with its figures at the target's size. */
public interface Role {
  /** Returns the name of the role's table on the page. */
  String table();

  /** Returns the role's figures, in the order of the page. */
  List<Row> rows(CapacityModel model);

  /** Returns all roles, in the order of the page. */
  static List<Role> all() {
    return List.of(new EdgeNode(), new CounterService(), new ControlMachines(), new AppServer(),
        new LoadBalancer());
  }
}
