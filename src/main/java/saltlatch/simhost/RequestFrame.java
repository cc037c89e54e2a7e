package saltlatch.simhost;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;
import saltlatch.api.GossipMessage;
import saltlatch.api.Ticks;
import saltlatch.wire.peer.GossipCodec;

/**
 * Decodes a frame from the simulator: a header with the time and the number of records, records of
 * a fixed size, and a tail with variable-size data to which the records refer by offset. Numbers
 * are little-endian, times are doubles in milliseconds. The offsets in this class are those of the
 * socket protocol's documentation. Read-only view of the frame's bytes.
 */
final class RequestFrame {
  // Codes of the records, in the order of the protocol's documentation.
  static final int ATTACH = 256;
  static final int DETACH = 265;
  private static final int ENDPOINTS_UPDATED = 257;
  private static final int REQUEST_ARRIVED = 258;
  private static final int RESPONSE_STARTED = 259;
  private static final int ATTEMPT_ENDED = 260;
  private static final int CLIENT_DISCONNECTED = 261;
  private static final int TIMER_FIRED = 262;
  private static final int HEALTH_CHECKED = 263;
  private static final int GOSSIP_RECEIVED = 264;
  private static final int COUNTER_REPLIED = 266;

  static final int HEADER_BYTES = 12;
  private static final int RECORD_COUNT_OFFSET = 8;
  private static final int RECORD_BYTES = 48;
  private static final int INSTANCE_OFFSET = 2;
  private static final int BODY_OFFSET = 4;
  private static final int ENDPOINT_BYTES = 23;
  private static final int MAX_LOAD_VALUES = 4;
  private static final int RETRY_FLAG = 2;
  // The code of a constant in a frame is its ordinal.
  private static final EndpointState[] STATES = EndpointState.values();
  private static final EndpointUpdateKind[] UPDATE_KINDS = EndpointUpdateKind.values();
  private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

  private final ByteBuffer frame;
  private final int recordCount;
  private final int tailOffset;

  /**
   * Decodes the header.
   *
   * @param bytes a frame without its length field; at least {@link #HEADER_BYTES} long
   * @throws MalformedFrameException if the frame is too short for its records
   */
  RequestFrame(byte[] bytes) throws MalformedFrameException {
    frame = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    long count = frame.getInt(RECORD_COUNT_OFFSET) & 0xffffffffL;
    long recordsEnd = HEADER_BYTES + count * RECORD_BYTES;
    if (recordsEnd > bytes.length) {
      throw new MalformedFrameException("frame has " + bytes.length + " bytes, but its header and "
          + count + " records need " + recordsEnd);
    }
    recordCount = (int) count;
    tailOffset = (int) recordsEnd;
  }

  /** Returns the simulated time of all records, in ticks. */
  long nowTicks() {
    return Ticks.ofMillis(frame.getDouble(0));
  }

  /** Returns the number of records; their indexes start at 0. */
  int recordCount() {
    return recordCount;
  }

  /** Returns the code of a record. */
  int code(int index) {
    return unsignedShort(recordOffset(index));
  }

  /** Returns the number of the policy instance that a record is for. */
  int instance(int index) {
    return unsignedShort(recordOffset(index) + INSTANCE_OFFSET);
  }

  /** Returns the seed of the instance's random draws from an {@link #ATTACH} record. */
  long attachSeed(int index) {
    return frame.getLong(bodyOffset(index));
  }

  /** Returns the text of the instance's settings from an {@link #ATTACH} record. */
  String attachSettings(int index) throws MalformedFrameException {
    return new String(tailBytes(bodyOffset(index) + 8, 1), StandardCharsets.UTF_8);
  }

  /**
   * Decodes the event in a record other than {@link #ATTACH} and {@link #DETACH}. Returns null for
   * a gossip datagram that cannot be decoded, which is dropped.
   *
   * @throws MalformedFrameException if the code is unknown or a value is out of range
   */
  GatewayEvent event(int index) throws MalformedFrameException {
    int offset = bodyOffset(index);
    return switch (code(index)) {
      case ENDPOINTS_UPDATED -> endpointsUpdated(offset);
      case REQUEST_ARRIVED -> requestArrived(offset);
      case RESPONSE_STARTED -> responseStarted(offset);
      case ATTEMPT_ENDED -> attemptEnded(offset);
      case CLIENT_DISCONNECTED -> new GatewayEvent.ClientDisconnected(unsignedInt(offset));
      case TIMER_FIRED -> new GatewayEvent.TimerFired(frame.getLong(offset));
      case HEALTH_CHECKED -> healthChecked(offset);
      case GOSSIP_RECEIVED -> gossipReceived(offset);
      case COUNTER_REPLIED -> counterReplied(offset);
      default -> throw new MalformedFrameException(
          "record " + index + " has unknown event code " + code(index));
    };
  }

  private GatewayEvent endpointsUpdated(int offset) throws MalformedFrameException {
    ByteBuffer data = ByteBuffer.wrap(tailBytes(offset + 5, ENDPOINT_BYTES))
        .order(ByteOrder.LITTLE_ENDIAN);
    List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
    for (int entry = 0; entry < data.capacity(); entry += ENDPOINT_BYTES) {
      endpoints.add(new GatewayEvent.Endpoint(data.getInt(entry) & 0xffffffffL,
          Ticks.ofMillis(data.getDouble(entry + 4)), data.getShort(entry + 12) & 0xffff,
          data.getShort(entry + 14) & 0xffff, decodeConstant(STATES, data.get(entry + 16)),
          data.getFloat(entry + 17), data.getShort(entry + 21) & 0xffff));
    }
    return new GatewayEvent.EndpointsUpdated(decodeConstant(UPDATE_KINDS, frame.get(offset)),
        endpoints);
  }

  private GatewayEvent requestArrived(int offset) {
    int requestClass = unsignedByte(offset + 18);
    int plan = unsignedShort(offset + 4);
    long customer = frame.getLong(offset + 19);
    int nodeCount = Math.round(frame.getFloat(offset + 14));
    int firstNode = Math.round(frame.getFloat(offset + 33));
    boolean retry = (frame.getShort(offset + 27) & RETRY_FLAG) != 0;
    return new GatewayEvent.RequestArrived(unsignedInt(offset), requestClass, plan, customer,
        ticks(offset + 6), frame.getFloat(offset + 29), nodeCount, firstNode, retry, 0);
  }

  private GatewayEvent responseStarted(int offset) {
    return new GatewayEvent.ResponseStarted(unsignedInt(offset), unsignedInt(offset + 12),
        unsignedByte(offset + 16), ticks(offset + 4));
  }

  private GatewayEvent attemptEnded(int offset) throws MalformedFrameException {
    boolean requestFinished = frame.get(offset + 4) != 0;
    double fleetUtilization = unsignedShort(offset + 5);
    double actualUnits = unsignedShort(offset + 12);
    return new GatewayEvent.AttemptEnded(unsignedInt(offset), unsignedInt(offset + 7),
        unsignedByte(offset + 22), decodeConstant(OUTCOMES, frame.get(offset + 11)),
        requestFinished, ticks(offset + 14), actualUnits, fleetUtilization,
        loadReport(offset + 23));
  }

  private GatewayEvent healthChecked(int offset) throws MalformedFrameException {
    return new GatewayEvent.HealthChecked(unsignedInt(offset + 8),
        decodeConstant(OUTCOMES, frame.get(offset + 12)), ticks(offset), loadReport(offset + 13));
  }

  private GatewayEvent gossipReceived(int offset) throws MalformedFrameException {
    GossipMessage message = GossipCodec.decode(tailBytes(offset + 2, 1));
    return message == null ? null : new GatewayEvent.GossipReceived(unsignedShort(offset), message);
  }

  private GatewayEvent counterReplied(int offset) throws MalformedFrameException {
    return new GatewayEvent.CounterReplied(frame.getLong(offset),
        decodeConstant(OUTCOMES, frame.get(offset + 8)), frame.getFloat(offset + 9),
        ticks(offset + 13));
  }

  private List<Double> loadReport(int offset) throws MalformedFrameException {
    int count = unsignedByte(offset);
    if (count > MAX_LOAD_VALUES) {
      throw new MalformedFrameException(
          "load report has " + count + " values, at most " + MAX_LOAD_VALUES + " are allowed");
    }
    List<Double> values = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      values.add((double) frame.getFloat(offset + 1 + Float.BYTES * i));
    }
    return values;
  }

  private static int recordOffset(int index) {
    return HEADER_BYTES + index * RECORD_BYTES;
  }

  private static int bodyOffset(int index) {
    return recordOffset(index) + BODY_OFFSET;
  }

  private long ticks(int offset) {
    return Ticks.ofMillis(frame.getDouble(offset));
  }

  private int unsignedByte(int offset) {
    return frame.get(offset) & 0xff;
  }

  private int unsignedShort(int offset) {
    return frame.getShort(offset) & 0xffff;
  }

  private long unsignedInt(int offset) {
    return frame.getInt(offset) & 0xffffffffL;
  }

  /**
   * Returns the bytes in the tail to which a field refers by offset and number of entries.
   *
   * @param entryBytes size of an entry
   */
  private byte[] tailBytes(int offset, int entryBytes) throws MalformedFrameException {
    long start = tailOffset + unsignedInt(offset);
    long size = unsignedInt(offset + 4) * entryBytes;
    if (start + size > frame.capacity()) {
      throw new MalformedFrameException("field refers to bytes " + start + " to " + (start + size)
          + " of a frame of " + frame.capacity() + " bytes");
    }
    byte[] data = new byte[(int) size];
    frame.get((int) start, data);
    return data;
  }

  /** Returns the constant whose ordinal is the code. */
  private static <E> E decodeConstant(E[] values, byte code) throws MalformedFrameException {
    if (code < 0 || code >= values.length) {
      throw new MalformedFrameException(
          "expected a code from 0 to " + (values.length - 1) + ", found " + code);
    }
    return values[code];
  }
}
