package saltlatch.history;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.FileAppender;
import java.nio.file.Path;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * What one process did, an event of JSON a line, for people and the laboratory to compare processes
 * afterwards: SLF4J key-value events on logback's JSON encoder, each line handed to the system
 * before the next thing is done, so that what was written before SIGKILL counts. Beside the log and
 * apart from its backend; opened only where the configuration names a directory, else none of these
 * classes is loaded. {@code mono_ns} is the machine's monotonic clock, which all processes on it
 * share.
 */
public final class History implements AutoCloseable {
  private final LoggerContext context = new LoggerContext();
  private final Logger log = context.getLogger("history");
  private final String name;
  private final String incarnation;

  /**
   * Appends to {@code DIR/NAME.jsonl}; a process started again under its name goes on in the same
   * file.
   */
  public History(Path dir, String name, String incarnation) {
    this.name = name;
    this.incarnation = incarnation;
    // a context of one's own has none, and appends nothing without
    context.setMDCAdapter(new LogbackMDCAdapter());
    JsonEncoder json = new JsonEncoder();
    json.setContext(context);
    json.setWithSequenceNumber(false);
    json.setWithNanoseconds(false);
    json.setWithLevel(false);
    json.setWithThreadName(false);
    json.setWithLoggerName(false);
    json.setWithContext(false);
    json.setWithMDC(false);
    json.setWithThrowable(false);
    json.setWithArguments(false);
    json.start();
    FileAppender<ILoggingEvent> file = new FileAppender<>();
    file.setContext(context);
    file.setName("history");
    file.setFile(dir.resolve(name + ".jsonl").toString());
    file.setAppend(true);
    file.setImmediateFlush(true);
    file.setEncoder(json);
    file.start();
    if (!file.isStarted()) throw new IllegalArgumentException("history: can't write in " + dir);
    log.setLevel(Level.INFO);
    log.setAdditive(false);
    log.addAppender(file);
  }

  /** One event; {@code fields} are names and values in turn. */
  public void add(String kind, Object... fields) {
    LoggingEventBuilder event = log.atInfo().addKeyValue("name", name)
        .addKeyValue("inc", incarnation).addKeyValue("mono_ns", System.nanoTime());
    for (int i = 0; i + 1 < fields.length; i += 2)
      event = event.addKeyValue((String) fields[i], fields[i + 1]);
    event.log(kind);
  }

  @Override
  public void close() {
    context.stop();
  }
}
