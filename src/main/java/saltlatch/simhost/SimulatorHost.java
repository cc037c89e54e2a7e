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
 * Hosts instances of the policy for the simulator: a frame of events in, a frame of actions out. It
 * decides nothing. Runs on the one thread that calls {@link #run}, which owns everything here.
 */
public final class SimulatorHost {
  private static final int BUFFER_BYTES = 1 << 16;
  private static final int LENGTH_REST_BYTES = 3; // behind the first byte of a frame's length
  /** The longest array that the JVM gives. */
  private static final int MAX_FRAME_BYTES = Integer.MAX_VALUE - 8;
  private static final int OK = 0;
  private static final int MALFORMED_FRAME = 2;

  private final GatewayPolicy.Factory factory;
  private final Map<Integer, GatewayPolicy> policies = new HashMap<>(); // by instance
  private final ReplyFrame reply = new ReplyFrame();

  /** {@code factory} makes each instance's policy when the simulator attaches it. */
  public SimulatorHost(GatewayPolicy.Factory factory) {
    this.factory = factory;
  }

  /**
   * Answers frames until the input ends.
   *
   * @return the exit code: 0 at the input's end, 2 for a malformed frame, which {@code err} names
   * @throws IOException if input or output fail
   */
  public int run(InputStream rawIn, OutputStream rawOut, PrintStream err) throws IOException {
    InputStream in = new BufferedInputStream(rawIn, BUFFER_BYTES);
    OutputStream out = new BufferedOutputStream(rawOut, BUFFER_BYTES);
    try {
      for (byte[] body = readFrame(in); body != null; body = readFrame(in)) {
        answer(new RequestFrame(body), out);
      }
      return OK;
    } catch (MalformedFrameException e) {
      err.println("saltlatch simhost: malformed frame: " + e.getMessage());
      return MALFORMED_FRAME;
    }
  }

  /** A frame without its length; null at the input's end. */
  private static byte[] readFrame(InputStream in) throws IOException, MalformedFrameException {
    int first = in.read();
    if (first < 0) return null;
    byte[] rest = in.readNBytes(LENGTH_REST_BYTES);
    if (rest.length < LENGTH_REST_BYTES) {
      throw new MalformedFrameException("input ends inside a length");
    }
    long size = first | (rest[0] & 255L) << 8 | (rest[1] & 255L) << 16 | (rest[2] & 255L) << 24;
    if (size < RequestFrame.HEADER_BYTES || size > MAX_FRAME_BYTES) {
      throw new MalformedFrameException("a frame cannot have " + size + " bytes");
    }
    byte[] body = in.readNBytes((int) size);
    if (body.length < size) {
      throw new MalformedFrameException("input ends inside a frame of " + size + " bytes");
    }
    return body;
  }

  private void answer(RequestFrame frame, OutputStream out)
      throws MalformedFrameException, IOException {
    reply.clear();
    long nowTicks = frame.nowTicks();
    Map<Integer, List<GatewayEvent>> batches = new LinkedHashMap<>(); // by instance
    for (int record = 0; record < frame.recordCount(); record++) {
      take(frame, record, batches);
    }
    batches.forEach((instance, events) -> deliver(nowTicks, instance, events));
    reply.write(out);
    out.flush();
  }

  private void take(RequestFrame frame, int record, Map<Integer, List<GatewayEvent>> batches)
      throws MalformedFrameException {
    int instance = frame.instance(record);
    int code = frame.code(record);
    if (code == RequestFrame.ATTACH || code == RequestFrame.DETACH) {
      // What came before still goes to the instance that ends here.
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
      throw new MalformedFrameException("settings: " + e);
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
