package saltlatch.simhost;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import saltlatch.api.GatewayActions;
import saltlatch.api.GossipMessage;
import saltlatch.api.Ticks;
import saltlatch.wire.peer.GossipCodec;

/** The reply frame under construction. */
final class ReplyFrame {
  private static final int RECORD = 24;
  private ByteBuffer records = ByteBuffer.allocate(RECORD * 256).order(ByteOrder.LITTLE_ENDIAN);
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int count;

  void clear() {
    tail.reset();
    count = 0;
  }

  void write(OutputStream out) throws IOException {
    int size = count * RECORD;
    ByteBuffer header = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
    header.putInt(4 + size + tail.size()).putInt(count);
    out.write(header.array());
    out.write(records.array(), 0, size);
    tail.writeTo(out);
  }

  /**
   * The place of a new record. To be called before {@code records} is read, which it may replace by
   * a larger one.
   */
  private int next(int code, int inst) {
    int at = count++ * RECORD;
    if (at + RECORD > records.capacity()) {
      ByteBuffer more = ByteBuffer.allocate(records.capacity() * 2).order(ByteOrder.LITTLE_ENDIAN);
      more.put(0, records.array(), 0, at);
      records = more;
    }
    for (int i = 0; i < RECORD; i += 8) {
      records.putLong(at + i, 0);
    }
    records.putShort(at, (short) code).putShort(at + 2, (short) inst);
    return at;
  }

  private void attachBytes(int at, byte[] data) {
    records.putInt(at, tail.size()).putInt(at + 4, data.length);
    tail.writeBytes(data);
  }

  Encoder of(int inst) {
    return new Encoder(inst);
  }

  /** One instance's actions, written as they are emitted. */
  final class Encoder implements GatewayActions {
    private final int inst;

    Encoder(int inst) {
      this.inst = inst;
    }

    void crash(String text) {
      attachBytes(next(258, inst) + 4, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void startAttempt(long rid, long srv, long cap) {
      int at = next(259, inst);
      records.putInt(at + 4, (int) rid).putDouble(at + 8, Ticks.toMillis(cap)).putInt(at + 16,
          (int) srv);
    }

    @Override
    public void reject(long rid, long pause) {
      int at = next(260, inst);
      records.putInt(at + 4, (int) rid).putDouble(at + 8, Ticks.toMillis(pause));
    }

    @Override
    public void fail(long rid) {
      int at = next(262, inst);
      records.putInt(at + 4, (int) rid);
    }

    @Override
    public void cancelAttempt(long rid, int dispatch) {
      int at = next(261, inst);
      records.putInt(at + 4, (int) rid).put(at + 8, (byte) dispatch);
    }

    @Override
    public void setTimer(long when, long handle) {
      int at = next(265, inst);
      records.putDouble(at + 4, Ticks.toMillis(when)).putLong(at + 12, handle);
    }

    @Override
    public void checkHealth(long srv) {
      int at = next(266, inst);
      records.putInt(at + 4, (int) srv);
    }

    @Override
    public void closeIdleConnections(long srv) {
      int at = next(256, inst);
      records.putInt(at + 4, (int) srv);
    }

    @Override
    public void addToCounter(long name, double units, long keep, long cap) {
      int at = next(267, inst);
      records.putLong(at + 4, name).putFloat(at + 12, (float) units).putDouble(at + 16,
          Ticks.toMillis(keep));
    }

    @Override
    public void watchEndpoints(boolean on) {
      int at = next(268, inst);
      records.put(at + 4, (byte) (on ? 1 : 0));
    }

    @Override
    public void sendGossip(int peer, GossipMessage told) {
      int at = next(263, inst);
      records.putShort(at + 4, (short) peer);
      attachBytes(at + 6, GossipCodec.encode(told));
    }

    @Override
    public void log(String text) {
      attachBytes(next(264, inst) + 4, text.getBytes(StandardCharsets.UTF_8));
    }
  }
}
