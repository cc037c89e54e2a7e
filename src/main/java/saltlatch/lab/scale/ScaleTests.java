package saltlatch.lab.scale;

import java.util.List;
import java.util.Optional;

/** All scale tests, by the names that the command line knows. */
public final class ScaleTests {
  private ScaleTests() {}

  /** In the order of their importance. */
  public static List<ScaleTest> all(TestEnvironment environment) {
    return List.of(new ListScale(environment), new WatchersScale(environment),
        new PlansScale(environment), new CounterScale(environment), new MembersScale(),
        new RequestsScale(environment), new SumsScale(environment), new HollowScale(environment),
        new FleetScale(environment), new ModuleScale());
  }

  /** The one of that name. */
  public static Optional<ScaleTest> named(String name, TestEnvironment environment) {
    return all(environment).stream().filter(test -> test.name().equals(name)).findFirst();
  }
}
