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
 * Encodes the frame of actions that replies to a frame of events: records of a fixed size in the
 * order of the actions, and a tail with variable-size data. Numbers are little-endian, times are
 * doubles in milliseconds. The offsets in this class are those of the socket protocol's
 * documentation. The host's thread reuses one instance for all frames.
 */
final class ReplyFrame {
  // Codes of the records, in the order of the protocol's documentation.
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
  private static final int INSTANCE_OFFSET = 2;
  private static final int BODY_OFFSET = 4;

  private ByteBuffer records = ByteBuffer.allocate(RECORD_BYTES * INITIAL_RECORDS)
      .order(ByteOrder.LITTLE_ENDIAN);
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int recordCount;

  /** Removes all records and the tail, so that the next frame can be built. */
  void clear() {
    tail.reset();
    recordCount = 0;
  }

  /** Writes the frame, preceded by its length in bytes. */
  void write(OutputStream out) throws IOException {
    int recordsBytes = recordCount * RECORD_BYTES;
    ByteBuffer header = ByteBuffer.allocate(2 * Integer.BYTES).order(ByteOrder.LITTLE_ENDIAN);
    header.putInt(Integer.BYTES + recordsBytes + tail.size()).putInt(recordCount);
    out.write(header.array());
    out.write(records.array(), 0, recordsBytes);
    tail.writeTo(out);
  }

  /** Adds a record that reports that an instance's policy threw an exception. */
  void addCrash(int instance, String text) {
    appendToTail(addRecord(CRASH, instance), text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an encoder that adds an instance's actions to this frame. */
  GatewayActions actionsOf(int instance) {
    return new ActionEncoder(instance);
  }

  /**
   * Adds a record with a body of zeros and returns the body's offset. This method may replace
   * {@code records} by a larger buffer, so callers must call it before they read that field.
   */
  private int addRecord(int code, int instance) {
    int offset = recordCount++ * RECORD_BYTES;
    if (offset + RECORD_BYTES > records.capacity()) grow(offset);
    for (int i = 0; i < RECORD_BYTES; i += Long.BYTES) records.putLong(offset + i, 0);
    records.putShort(offset, (short) code);
    records.putShort(offset + INSTANCE_OFFSET, (short) instance);
    return offset + BODY_OFFSET;
  }

  private void grow(int usedBytes) {
    ByteBuffer larger = ByteBuffer.allocate(records.capacity() * 2).order(ByteOrder.LITTLE_ENDIAN);
    larger.put(0, records.array(), 0, usedBytes);
    records = larger;
  }

  /** Appends bytes to the tail, and writes their offset and length into a record. */
  private void appendToTail(int offset, byte[] bytes) {
    records.putInt(offset, tail.size()).putInt(offset + Integer.BYTES, bytes.length);
    tail.writeBytes(bytes);
  }

  /** Encodes the actions of an instance in the order in which the policy takes them. */
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
      int offset = add(START_ATTEMPT);
      records.putInt(offset, (int) requestId);
      records.putDouble(offset + 4, Ticks.toMillis(timeoutTicks));
      records.putInt(offset + 12, (int) serverId);
    }

    @Override
    public void reject(long requestId, long retryAfterTicks) {
      int offset = add(REJECT);
      records.putInt(offset, (int) requestId);
      records.putDouble(offset + 4, Ticks.toMillis(retryAfterTicks));
    }

    @Override
    public void fail(long requestId) {
      int offset = add(FAIL);
      records.putInt(offset, (int) requestId);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
      int offset = add(CANCEL_ATTEMPT);
      records.putInt(offset, (int) requestId);
      records.put(offset + 4, (byte) attempt);
    }

    @Override
    public void setTimer(long dueTicks, long timerId) {
      int offset = add(SET_TIMER);
      records.putDouble(offset, Ticks.toMillis(dueTicks));
      records.putLong(offset + 8, timerId);
    }

    @Override
    public void checkHealth(long serverId) {
      int offset = add(CHECK_HEALTH);
      records.putInt(offset, (int) serverId);
    }

    @Override
    public void closeIdleConnections(long serverId) {
      int offset = add(CLOSE_IDLE_CONNECTIONS);
      records.putInt(offset, (int) serverId);
    }

    @Override
    public void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks) {
      int offset = add(ADD_TO_COUNTER);
      records.putLong(offset, counterName);
      records.putFloat(offset + 8, (float) units);
      records.putDouble(offset + 12, Ticks.toMillis(ttlTicks));
    }

    @Override
    public void watchEndpoints(boolean on) {
      int offset = add(WATCH_ENDPOINTS);
      records.put(offset, (byte) (on ? 1 : 0));
    }

    @Override
    public void sendGossip(int peer, GossipMessage message) {
      int offset = add(SEND_GOSSIP);
      records.putShort(offset, (short) peer);
      appendToTail(offset + 2, GossipCodec.encode(message));
    }

    @Override
    public void log(String text) {
      appendToTail(add(LOG), text.getBytes(StandardCharsets.UTF_8));
    }
  }
}
