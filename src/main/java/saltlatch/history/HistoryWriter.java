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
 * Writes the history of a process: a JSON line for each event. {@link #add} passes each line to the
 * operating system before it returns, so that lines written before a SIGKILL are not lost.
 *
 * <p>The history is separate from the log and from its backend. It uses SLF4J key-value events and
 * logback's JSON encoder, whose classes are loaded only if a history is written. {@code mono_ns} is
 * the machine's monotonic clock, which all processes on the machine share. Thread-safe.
 */
public final class HistoryWriter implements AutoCloseable {
  private final LoggerContext context = new LoggerContext();
  private final Logger log = context.getLogger("history");
  private final String name;
  private final String incarnation;

  /**
   * Opens {@code DIRECTORY/NAME.jsonl} for appending; a process that is restarted under its name
   * appends to the same file.
   *
   * @param incarnation distinguishes this process from other processes of the same name
   * @throws IllegalArgumentException if the file can't be written
   */
  public HistoryWriter(Path directory, String name, String incarnation) {
    this.name = name;
    this.incarnation = incarnation;
    // A new logger context has no MDC adapter, and without one it appends no events.
    context.setMDCAdapter(new LogbackMDCAdapter());
    FileAppender<ILoggingEvent> file = fileAppender(directory.resolve(name + ".jsonl"));
    if (!file.isStarted()) {
      throw new IllegalArgumentException(
          "history: can't write file " + name + ".jsonl in directory " + directory);
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

  /** Returns an encoder that writes only the timestamp, the message and the event's fields. */
  private JsonEncoder encoder() {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithLevel(false);
    encoder.setWithThreadName(false);
    encoder.setWithLoggerName(false);
    encoder.setWithContext(false);
    encoder.setWithMDC(false);
    encoder.setWithThrowable(false);
    encoder.setWithArguments(false);
    encoder.start();
    return encoder;
  }

  /**
   * Writes an event.
   *
   * @param kind   the event's message
   * @param fields names and values, alternating
   */
  public void add(String kind, Object... fields) {
    LoggingEventBuilder event = log.atInfo().addKeyValue("name", name)
        .addKeyValue("inc", incarnation).addKeyValue("mono_ns", System.nanoTime());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      event = event.addKeyValue((String) fields[i], fields[i + 1]);
    }
    event.log(kind);
  }

  /** Closes the file; events added afterwards are dropped. */
  @Override
  public void close() {
    context.stop();
  }
}
