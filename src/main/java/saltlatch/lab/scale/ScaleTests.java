package saltlatch.lab.scale;

import java.util.List;
import java.util.Optional;

/** All scale tests, by the names that the command line knows. */
public final class ScaleTests {
  private ScaleTests() {}

  /** In the order of their importance. */
  public static List<ScaleTest> all(Bench bench) {
    return List.of(new ListScale(bench), new WatchersScale(bench), new PlansScale(bench),
        new CounterScale(bench), new MembersScale(), new RequestsScale(bench), new SumsScale(bench),
        new HollowScale(bench), new FleetScale(bench), new ModuleScale());
  }

  /** The one of that name. */
  public static Optional<ScaleTest> named(String name, Bench bench) {
    return all(bench).stream().filter(test -> test.name().equals(name)).findFirst();
  }
}
