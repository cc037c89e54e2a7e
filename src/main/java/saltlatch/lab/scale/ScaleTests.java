package saltlatch.lab.scale;

import java.util.List;
import java.util.Optional;

/** Lists all scale tests and finds them by the names that the command line accepts. */
public final class ScaleTests {
  private ScaleTests() {}

  /** Returns all tests, the most important first. */
  public static List<ScaleTest> all(TestEnvironment environment) {
    return List.of(new ListScale(environment), new WatchersScale(environment),
        new PlansScale(environment), new CounterScale(environment), new MembersScale(),
        new RequestsScale(environment), new SumsScale(environment), new HollowScale(environment),
        new FleetScale(environment), new ModuleScale());
  }

  /** Returns the test with this name, if there is one. */
  public static Optional<ScaleTest> named(String name, TestEnvironment environment) {
    return all(environment).stream().filter(test -> test.name().equals(name)).findFirst();
  }
}
