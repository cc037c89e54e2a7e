package saltlatch.simhost;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;
import saltlatch.settings.SettingsReader;

/**
 * Hosts instances of the policy for the simulator: reads frames of events, passes the events to the
 * instances and replies to each frame with a frame of the actions that they take. Makes no
 * decisions. Runs on the thread that calls {@link #run}, which owns all its state.
 */
public final class SimulatorHost {
  private static final int BUFFER_BYTES = 1 << 16;
  private static final int REMAINING_LENGTH_BYTES = 3; // of a frame's length, after its first byte
  /** The largest array size that the JVM supports. */
  private static final int MAX_FRAME_BYTES = Integer.MAX_VALUE - 8;
  private static final int EXIT_OK = 0;
  private static final int EXIT_MALFORMED_FRAME = 2;

  private final GatewayPolicy.Factory factory;
  private final Map<Integer, GatewayPolicy> policies = new HashMap<>(); // by instance
  private final ReplyFrame reply = new ReplyFrame();

  /**
   * Creates a host without instances.
   *
   * @param factory creates an instance's policy when the simulator attaches the instance
   */
  public SimulatorHost(GatewayPolicy.Factory factory) {
    this.factory = factory;
  }

  /**
   * Replies to frames until the end of the input.
   *
   * @return the exit code: 0 at the end of the input, 2 after a malformed frame, which is reported
   *     on {@code err}
   * @throws IOException if the input can't be read or the output can't be written
   */
  public int run(InputStream rawIn, OutputStream rawOut, PrintStream err) throws IOException {
    InputStream in = new BufferedInputStream(rawIn, BUFFER_BYTES);
    OutputStream out = new BufferedOutputStream(rawOut, BUFFER_BYTES);
    try {
      for (byte[] body = readFrame(in); body != null; body = readFrame(in)) {
        answerFrame(new RequestFrame(body), out);
      }
      return EXIT_OK;
    } catch (MalformedFrameException e) {
      err.println("saltlatch simhost: malformed frame: " + e.getMessage());
      return EXIT_MALFORMED_FRAME;
    }
  }

  /** Returns the next frame without its length field; null at the end of the input. */
  private static byte[] readFrame(InputStream in) throws IOException, MalformedFrameException {
    int firstByte = in.read();
    if (firstByte < 0) return null;
    byte[] remaining = in.readNBytes(REMAINING_LENGTH_BYTES);
    if (remaining.length < REMAINING_LENGTH_BYTES) {
      throw new MalformedFrameException("input ends after " + (1 + remaining.length) + " of "
          + Integer.BYTES + " bytes of a frame's length");
    }
    long size = firstByte | (remaining[0] & 255L) << 8 | (remaining[1] & 255L) << 16
        | (remaining[2] & 255L) << 24;
    if (size < RequestFrame.HEADER_BYTES || size > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("expected a frame length from " + RequestFrame.HEADER_BYTES
          + " to " + MAX_FRAME_BYTES + " bytes, found " + size);
    }
    byte[] body = in.readNBytes((int) size);
    if (body.length < size) {
      throw new MalformedFrameException(
          "input ends after " + body.length + " of " + size + " bytes of a frame");
    }
    return body;
  }

  private void answerFrame(RequestFrame frame, OutputStream out)
      throws MalformedFrameException, IOException {
    reply.clear();
    long nowTicks = frame.nowTicks();
    Map<Integer, List<GatewayEvent>> batches = new LinkedHashMap<>(); // by instance
    for (int record = 0; record < frame.recordCount(); record++) {
      acceptRecord(frame, record, batches);
    }
    batches.forEach((instance, events) -> deliver(nowTicks, instance, events));
    reply.write(out);
    out.flush();
  }

  private void acceptRecord(RequestFrame frame, int record,
      Map<Integer, List<GatewayEvent>> batches) throws MalformedFrameException {
    int instance = frame.instance(record);
    int code = frame.code(record);
    if (code == RequestFrame.ATTACH || code == RequestFrame.DETACH) {
      // The instance that ends here still receives the events that precede this record.
      deliver(frame.nowTicks(), instance, batches.remove(instance));
      policies.remove(instance);
      if (code == RequestFrame.ATTACH) attach(frame, record);
      return;
    }
    GatewayEvent event = frame.event(record);
    if (event != null) batches.computeIfAbsent(instance, key -> new ArrayList<>()).add(event);
  }

  private void attach(RequestFrame frame, int record) throws MalformedFrameException {
    int instance = frame.instance(record);
    String text = frame.attachSettings(record);
    GatewaySettings settings;
    try {
      settings = SettingsReader.read(text, frame.attachSeed(record));
    } catch (RuntimeException e) {
      throw new MalformedFrameException("settings of instance " + instance + ": " + e);
    }
    policies.put(instance, factory.create(frame.nowTicks(), settings, reply.actionsOf(instance)));
  }

  private void deliver(long nowTicks, int instance, List<GatewayEvent> events) {
    GatewayPolicy policy = policies.get(instance);
    if (policy == null || events == null) return;
    try {
      policy.handle(nowTicks, events);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.addCrash(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
      policies.remove(instance);
    }
  }
}
