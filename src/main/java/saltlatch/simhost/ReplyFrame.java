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

/**
 * The frame of actions that answers a frame of events: records of a fixed size in the order of the
 * actions, and a tail for what has no fixed size. Little-endian, times in milliseconds as doubles.
 * Offsets are those of the socket protocol's page. Used again for each frame, by the host's thread.
 */
final class ReplyFrame {
  /** Codes of records, in the order of the protocol's page. */
  private static final int CLOSE_IDLE_CONNECTIONS = 256;
  private static final int CRASH = 258;
  private static final int START_ATTEMPT = 259;
  private static final int REJECT = 260;
  private static final int CANCEL_ATTEMPT = 261;
  private static final int FAIL = 262;
  private static final int SEND_GOSSIP = 263;
  private static final int LOG = 264;
  private static final int SET_TIMER = 265;
  private static final int CHECK_HEALTH = 266;
  private static final int ADD_TO_COUNTER = 267;
  private static final int WATCH_ENDPOINTS = 268;

  private static final int RECORD_BYTES = 24;
  private static final int INITIAL_RECORDS = 256;
  private static final int INSTANCE_AT = 2;
  private static final int BODY_AT = 4;

  private ByteBuffer records = ByteBuffer.allocate(RECORD_BYTES * INITIAL_RECORDS)
      .order(ByteOrder.LITTLE_ENDIAN);
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int recordCount;

  /** Begins the next frame. */
  void clear() {
    tail.reset();
    recordCount = 0;
  }

  /** Writes the frame with its length in front. */
  void write(OutputStream out) throws IOException {
    int recordsBytes = recordCount * RECORD_BYTES;
    ByteBuffer header = ByteBuffer.allocate(2 * Integer.BYTES).order(ByteOrder.LITTLE_ENDIAN);
    header.putInt(Integer.BYTES + recordsBytes + tail.size()).putInt(recordCount);
    out.write(header.array());
    out.write(records.array(), 0, recordsBytes);
    tail.writeTo(out);
  }

  /** Reports that an instance's policy has thrown an exception. */
  void addCrash(int instance, String text) {
    attach(addRecord(CRASH, instance), text.getBytes(StandardCharsets.UTF_8));
  }

  /** What writes an instance's actions into this frame. */
  GatewayActions actionsOf(int instance) {
    return new ActionEncoder(instance);
  }

  /**
   * Adds a record of zeros, and returns the place of its body. To be called before {@code records}
   * is read, which it may replace by a larger one.
   */
  private int addRecord(int code, int instance) {
    int at = recordCount++ * RECORD_BYTES;
    if (at + RECORD_BYTES > records.capacity()) grow(at);
    for (int i = 0; i < RECORD_BYTES; i += Long.BYTES) records.putLong(at + i, 0);
    records.putShort(at, (short) code);
    records.putShort(at + INSTANCE_AT, (short) instance);
    return at + BODY_AT;
  }

  private void grow(int usedBytes) {
    ByteBuffer larger = ByteBuffer.allocate(records.capacity() * 2).order(ByteOrder.LITTLE_ENDIAN);
    larger.put(0, records.array(), 0, usedBytes);
    records = larger;
  }

  /** Puts bytes into the tail, and their place and number into a record. */
  private void attach(int at, byte[] bytes) {
    records.putInt(at, tail.size()).putInt(at + Integer.BYTES, bytes.length);
    tail.writeBytes(bytes);
  }

  /** One instance's actions, written as the policy takes them. */
  private final class ActionEncoder implements GatewayActions {
    private final int instance;

    ActionEncoder(int instance) {
      this.instance = instance;
    }

    private int add(int code) {
      return addRecord(code, instance);
    }

    @Override
    public void startAttempt(long requestId, long serverId, long timeoutTicks) {
      int at = add(START_ATTEMPT);
      records.putInt(at, (int) requestId);
      records.putDouble(at + 4, Ticks.toMillis(timeoutTicks));
      records.putInt(at + 12, (int) serverId);
    }

    @Override
    public void reject(long requestId, long retryAfterTicks) {
      int at = add(REJECT);
      records.putInt(at, (int) requestId);
      records.putDouble(at + 4, Ticks.toMillis(retryAfterTicks));
    }

    @Override
    public void fail(long requestId) {
      int at = add(FAIL);
      records.putInt(at, (int) requestId);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
      int at = add(CANCEL_ATTEMPT);
      records.putInt(at, (int) requestId);
      records.put(at + 4, (byte) attempt);
    }

    @Override
    public void setTimer(long dueTicks, long timerId) {
      int at = add(SET_TIMER);
      records.putDouble(at, Ticks.toMillis(dueTicks));
      records.putLong(at + 8, timerId);
    }

    @Override
    public void checkHealth(long serverId) {
      int at = add(CHECK_HEALTH);
      records.putInt(at, (int) serverId);
    }

    @Override
    public void closeIdleConnections(long serverId) {
      int at = add(CLOSE_IDLE_CONNECTIONS);
      records.putInt(at, (int) serverId);
    }

    @Override
    public void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks) {
      int at = add(ADD_TO_COUNTER);
      records.putLong(at, counterName);
      records.putFloat(at + 8, (float) units);
      records.putDouble(at + 12, Ticks.toMillis(ttlTicks));
    }

    @Override
    public void watchEndpoints(boolean on) {
      int at = add(WATCH_ENDPOINTS);
      records.put(at, (byte) (on ? 1 : 0));
    }

    @Override
    public void sendGossip(int peer, GossipMessage message) {
      int at = add(SEND_GOSSIP);
      records.putShort(at, (short) peer);
      attach(at + 2, GossipCodec.encode(message));
    }

    @Override
    public void log(String text) {
      attach(add(LOG), text.getBytes(StandardCharsets.UTF_8));
    }
  }
}
