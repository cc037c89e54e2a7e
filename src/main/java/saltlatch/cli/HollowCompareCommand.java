package saltlatch.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.scale.HollowComparison;
import saltlatch.lab.scale.HollowTable;
import saltlatch.lab.scale.TestEnvironment;

/**
 * {@code lab hollow compare}: compares what hollow nodes send and receive with what real nodes do,
 * and writes a table of the differences.
 */
@Command(name = "compare", mixinStandardHelpOptions = true,
    description = "Run the same number of real and of hollow nodes against the same source and write a table "
        + "of the differences; exit with 1 if one is over 10 %%.")
final class HollowCompareCommand implements Callable<Integer> {
  private static final int DIFFERENT = 1; // exit code

  @Option(names = "--sizes", split = ",", defaultValue = "1,5,20",
      description = "numbers of nodes to compare (${DEFAULT-VALUE})") List<Integer> sizes;

  @Option(names = "--out", defaultValue = "docs/capacity/hollow-vs-real.md",
      description = "page to write (${DEFAULT-VALUE})") Path out;

  @Option(names = "--dir", defaultValue = "target/hollow",
      description = "directory for configurations and logs (${DEFAULT-VALUE})") Path dir;

  @Override
  public Integer call() throws Exception {
    Path jar = ScaleCommand.ownJar();
    HollowComparison comparison = new HollowComparison(
        TestEnvironment.of(Path.of("deploy/balancer.toml"), jar, jar, dir));
    List<HollowComparison.Row> rows = new ArrayList<>();
    for (int nodes : sizes) {
      System.err.println("hollow compare: " + nodes + " real nodes, then as many hollow ones");
      rows.addAll(comparison.compare(nodes));
    }
    String page = HollowTable.of(rows);
    System.out.print(page);
    if (out.getParent() != null) Files.createDirectories(out.getParent());
    Files.writeString(out, page);
    return rows.stream().allMatch(HollowComparison.Row::passed) ? 0 : DIFFERENT;
  }
}
