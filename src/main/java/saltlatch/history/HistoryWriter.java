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
 * What one process did, an event of JSON a line. Each line is handed to the operating system before
 * the next thing is done, so that what was written before SIGKILL is there. Beside the log and
 * apart from its backend: SLF4J key-value events on logback's JSON encoder, whose classes are
 * loaded only where a history is kept. {@code mono_ns} is the machine's monotonic clock,
 * which all processes on it share. Thread-safe.
 */
public final class HistoryWriter implements AutoCloseable {
  private final LoggerContext context = new LoggerContext();
  private final Logger log = context.getLogger("history");
  private final String name;
  private final String incarnation;

  /**
   * Appends to {@code DIRECTORY/NAME.jsonl}; a process started again under its name goes on in the
   * same file.
   *
   * @param incarnation distinguishes this process from others of the name
   * @throws IllegalArgumentException if the file can't be written
   */
  public HistoryWriter(Path directory, String name, String incarnation) {
    this.name = name;
    this.incarnation = incarnation;
    // A context of one's own has no adapter, and appends nothing without.
    context.setMDCAdapter(new LogbackMDCAdapter());
    FileAppender<ILoggingEvent> file = fileAppender(directory.resolve(name + ".jsonl"));
    if (!file.isStarted()) {
      throw new IllegalArgumentException("history: can't write in " + directory);
    }
    log.setLevel(Level.INFO);
    log.setAdditive(false);
    log.addAppender(file);
  }

  private FileAppender<ILoggingEvent> fileAppender(Path path) {
    FileAppender<ILoggingEvent> file = new FileAppender<>();
    file.setContext(context);
    file.setName("history");
    file.setFile(path.toString());
    file.setAppend(true);
    file.setImmediateFlush(true);
    file.setEncoder(encoder());
    file.start();
    return file;
  }

  /** Timestamp, message and the event's own fields; nothing else. */
  private JsonEncoder encoder() {
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
    return json;
  }

  /** Writes one event; {@code fields} are names and values in turn. */
  public void add(String kind, Object... fields) {
    LoggingEventBuilder event = log.atInfo().addKeyValue("name", name)
        .addKeyValue("inc", incarnation).addKeyValue("mono_ns", System.nanoTime());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      event = event.addKeyValue((String) fields[i], fields[i + 1]);
    }
    event.log(kind);
  }

  /** Closes the file; what is added afterwards is lost. */
  @Override
  public void close() {
    context.stop();
  }
}
