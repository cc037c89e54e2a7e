package saltlatch.simhost;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.api.Ticks;
import saltlatch.settings.SettingsReader;
import saltlatch.wire.peer.GossipCodec;

/** Hosts module instances on the simulator's wire: frames in, frames out. It decides nothing. */
public final class SimulatorHost {
  private static final int HEADER = 12;
  private static final int RECORD = 48;
  private static final int ENTRY = 23;
  private static final GatewayEvent.EndpointState[] CONDITIONS = GatewayEvent.EndpointState
      .values();
  private static final GatewayEvent.EndpointUpdateKind[] LISTS = GatewayEvent.EndpointUpdateKind
      .values();
  private static final GatewayEvent.AttemptOutcome[] OUTCOMES = GatewayEvent.AttemptOutcome
      .values();

  private static final class Malformed extends Exception {
    private static final long serialVersionUID = 1;

    Malformed(String why) {
      super(why);
    }
  }

  private final GatewayPolicy.Factory maker;
  private final Map<Integer, GatewayPolicy> gateways = new HashMap<>();
  private final ReplyFrame reply = new ReplyFrame();

  public SimulatorHost(GatewayPolicy.Factory maker) {
    this.maker = maker;
  }

  /** Runs until input ends; the exit code is 0 then, and 2 for a malformed frame. */
  public int run(InputStream rawIn, OutputStream rawOut, PrintStream err) throws IOException {
    InputStream in = new BufferedInputStream(rawIn, 1 << 16);
    OutputStream out = new BufferedOutputStream(rawOut, 1 << 16);
    while (true) {
      int first = in.read();
      if (first < 0) {
        return 0;
      }
      try {
        byte[] rest = in.readNBytes(3);
        if (rest.length < 3) {
          throw new Malformed("input ends inside a length");
        }
        long size = first | (rest[0] & 255L) << 8 | (rest[1] & 255L) << 16 | (rest[2] & 255L) << 24;
        if (size < HEADER || size > Integer.MAX_VALUE - 8) {
          throw new Malformed("a frame cannot have " + size + " bytes");
        }
        byte[] body = in.readNBytes((int) size);
        if (body.length < size) {
          throw new Malformed("input ends inside a frame of " + size + " bytes");
        }
        answer(ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN), out);
      } catch (Malformed e) {
        err.println("saltlatch simhost: malformed frame: " + e.getMessage());
        return 2;
      }
    }
  }

  private void answer(ByteBuffer in, OutputStream out) throws Malformed, IOException {
    long now = Ticks.ofMillis(in.getDouble(0));
    long count = in.getInt(8) & 0xffffffffL;
    long tail = HEADER + count * RECORD;
    if (tail > in.capacity()) {
      throw new Malformed(count + " records do not fit into " + in.capacity() + " bytes");
    }
    reply.clear();
    Map<Integer, List<GatewayEvent>> parts = new LinkedHashMap<>();
    for (int at = HEADER; at < tail; at += RECORD) {
      int code = in.getShort(at) & 0xffff;
      int inst = in.getShort(at + 2) & 0xffff;
      if (code == 256 || code == 265) {
        deliver(now, inst, parts.remove(inst));
        gateways.remove(inst);
      }
      if (code == 256) {
        String text = new String(bytes(in, at + 12, (int) tail, 1), StandardCharsets.UTF_8);
        attach(now, inst, in.getLong(at + 4), text);
      } else if (code != 265) {
        GatewayEvent e = event(in, code, at, (int) tail); // null: a datagram of another form
        if (e != null) parts.computeIfAbsent(inst, k -> new ArrayList<>()).add(e);
      }
    }
    for (Map.Entry<Integer, List<GatewayEvent>> part : parts.entrySet()) {
      deliver(now, part.getKey(), part.getValue());
    }
    reply.write(out);
    out.flush();
  }

  private void attach(long now, int inst, long seed, String text) throws Malformed {
    GatewaySettings site;
    try {
      site = SettingsReader.read(text, seed);
    } catch (RuntimeException e) {
      throw new Malformed("settings: " + e);
    }
    gateways.put(inst, maker.create(now, site, reply.of(inst)));
  }

  private void deliver(long now, int inst, List<GatewayEvent> events) {
    GatewayPolicy gateway = gateways.get(inst);
    if (gateway == null || events == null) {
      return;
    }
    try {
      gateway.handle(now, events);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.of(inst).crash(e + (trace.length > 0 ? " at " + trace[0] : ""));
      gateways.remove(inst);
    }
  }

  private static GatewayEvent event(ByteBuffer in, int code, int at, int tail) throws Malformed {
    long rid = in.getInt(at + 4) & 0xffffffffL;
    switch (code) {
      case 257 :
        return listed(in, at, tail);
      case 258 :
        return new GatewayEvent.RequestArrived(rid, in.get(at + 22) & 255,
            in.getShort(at + 8) & 0xffff, in.getLong(at + 23),
            Ticks.ofMillis(in.getDouble(at + 10)), in.getFloat(at + 33),
            Math.round(in.getFloat(at + 18)), Math.round(in.getFloat(at + 37)),
            (in.getShort(at + 31) & 2) != 0, 0);
      case 259 :
        return new GatewayEvent.ResponseStarted(rid, in.getInt(at + 16) & 0xffffffffL,
            in.get(at + 20) & 255, Ticks.ofMillis(in.getDouble(at + 8)));
      case 260 :
        return new GatewayEvent.AttemptEnded(rid, in.getInt(at + 11) & 0xffffffffL,
            in.get(at + 26) & 255, pick(OUTCOMES, in.get(at + 15)), in.get(at + 8) != 0,
            Ticks.ofMillis(in.getDouble(at + 18)), in.getShort(at + 16) & 0xffff,
            in.getShort(at + 9) & 0xffff, load(in, at + 27));
      case 261 :
        return new GatewayEvent.ClientDisconnected(rid);
      case 262 :
        return new GatewayEvent.TimerFired(in.getLong(at + 4));
      case 263 :
        return new GatewayEvent.HealthChecked(in.getInt(at + 12) & 0xffffffffL,
            pick(OUTCOMES, in.get(at + 16)), Ticks.ofMillis(in.getDouble(at + 4)),
            load(in, at + 17));
      case 264 :
        GossipMessage told = GossipCodec.decode(bytes(in, at + 6, tail, 1));
        return told == null ? null
            : new GatewayEvent.GossipReceived(in.getShort(at + 4) & 0xffff, told);
      case 266 :
        return new GatewayEvent.CounterReplied(in.getLong(at + 4), pick(OUTCOMES, in.get(at + 12)),
            in.getFloat(at + 13), Ticks.ofMillis(in.getDouble(at + 17)));
      default :
        throw new Malformed("unknown event code " + code);
    }
  }

  private static GatewayEvent listed(ByteBuffer in, int at, int tail) throws Malformed {
    ByteBuffer data = ByteBuffer.wrap(bytes(in, at + 9, tail, ENTRY))
        .order(ByteOrder.LITTLE_ENDIAN);
    List<GatewayEvent.Endpoint> entries = new ArrayList<>();
    for (int e = 0; e < data.capacity(); e += ENTRY) {
      entries.add(new GatewayEvent.Endpoint(data.getInt(e) & 0xffffffffL,
          Ticks.ofMillis(data.getDouble(e + 4)), data.getShort(e + 12) & 0xffff,
          data.getShort(e + 14) & 0xffff, pick(CONDITIONS, data.get(e + 16)), data.getFloat(e + 17),
          data.getShort(e + 21) & 0xffff));
    }
    return new GatewayEvent.EndpointsUpdated(pick(LISTS, in.get(at + 4)), entries);
  }

  private static byte[] bytes(ByteBuffer in, int at, int tail, int width) throws Malformed {
    long from = tail + (in.getInt(at) & 0xffffffffL);
    long size = (in.getInt(at + 4) & 0xffffffffL) * width;
    if (from + size > in.capacity()) {
      throw new Malformed("a field points behind the tail's end");
    }
    byte[] data = new byte[(int) size];
    in.get((int) from, data);
    return data;
  }

  private static List<Double> load(ByteBuffer in, int at) throws Malformed {
    int n = in.get(at) & 255;
    if (n > 4) {
      throw new Malformed("a load report cannot have " + n + " values");
    }
    List<Double> values = new ArrayList<>(n);
    for (int i = 0; i < n; i++) {
      values.add((double) in.getFloat(at + 1 + 4 * i));
    }
    return values;
  }

  private static <E> E pick(E[] from, byte code) throws Malformed {
    if (code < 0 || code >= from.length) {
      throw new Malformed("code " + code + " is not one of " + from.length);
    }
    return from[code];
  }
}
