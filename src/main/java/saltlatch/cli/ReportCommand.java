package saltlatch.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltlatch.lab.run.Lab;
import saltlatch.lab.report.Report;

/**
 * {@code report RUN.json [BASELINE.json]}: writes a run's HTML page with plots and, if a baseline
 * is given, the ratios to it.
 */
@Command(name = "report", mixinStandardHelpOptions = true,
    description = "Write a self-contained HTML report of a run file, compared with a baseline if given.")
final class ReportCommand implements Callable<Integer> {
  @Parameters(index = "0", description = "run file") Path run;

  @Parameters(index = "1", arity = "0..1", description = "baseline run file") Path baseline;

  @Option(names = "--out",
      description = "HTML file; default: the run file's name with the extension .html") Path out;

  @Override
  public Integer call() throws Exception {
    Path page = out != null ? out : Path.of(run.toString().replaceFirst("\\.json$", "") + ".html");
    Files.writeString(page,
        Report.html(Lab.read(run), baseline == null ? null : Lab.read(baseline)));
    System.out.println(page);
    return 0;
  }
}
