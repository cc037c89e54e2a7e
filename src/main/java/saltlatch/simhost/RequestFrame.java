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
 * A frame from the simulator: a header with the time and the number of records, records of a fixed
 * size, and a tail that records point into. Little-endian, times in milliseconds as doubles.
 * Offsets are those of the socket protocol's page. Read-only view of the frame's bytes.
 */
final class RequestFrame {
  /** Codes of records, in the order of the protocol's page. */
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
  private static final int RECORD_COUNT_AT = 8;
  private static final int RECORD_BYTES = 48;
  private static final int INSTANCE_AT = 2;
  private static final int BODY_AT = 4;
  private static final int ENDPOINT_BYTES = 23;
  private static final int MAX_LOAD_VALUES = 4;
  private static final int RETRY_FLAG = 2;
  // The codes on the wire are the constants' places.
  private static final EndpointState[] STATES = EndpointState.values();
  private static final EndpointUpdateKind[] UPDATE_KINDS = EndpointUpdateKind.values();
  private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

  private final ByteBuffer frame;
  private final int recordCount;
  private final int tailAt;

  /** {@code bytes}: a frame without its length, of {@link #HEADER_BYTES} at least. */
  RequestFrame(byte[] bytes) throws MalformedFrameException {
    frame = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    long count = frame.getInt(RECORD_COUNT_AT) & 0xffffffffL;
    long recordsEnd = HEADER_BYTES + count * RECORD_BYTES;
    if (recordsEnd > bytes.length) {
      throw new MalformedFrameException(
          count + " records do not fit into " + bytes.length + " bytes");
    }
    recordCount = (int) count;
    tailAt = (int) recordsEnd;
  }

  /** The simulated time of all records, in ticks. */
  long nowTicks() {
    return Ticks.ofMillis(frame.getDouble(0));
  }

  /** How many records there are; each is read by its index. */
  int recordCount() {
    return recordCount;
  }

  /** The record's code. */
  int code(int index) {
    return unsignedShort(at(index));
  }

  /** The instance of the policy that the record is for. */
  int instance(int index) {
    return unsignedShort(at(index) + INSTANCE_AT);
  }

  /** Of a record that attaches an instance: its seed for random draws. */
  long attachSeed(int index) {
    return frame.getLong(body(index));
  }

  /** Of a record that attaches an instance: its settings' text. */
  String attachSettings(int index) throws MalformedFrameException {
    return new String(tailBytes(body(index) + 8, 1), StandardCharsets.UTF_8);
  }

  /**
   * The event of any other record; null for a datagram of no known form, which is dropped.
   *
   * @throws MalformedFrameException for an unknown code, or a value out of its range
   */
  GatewayEvent event(int index) throws MalformedFrameException {
    int at = body(index);
    return switch (code(index)) {
      case ENDPOINTS_UPDATED -> endpointsUpdated(at);
      case REQUEST_ARRIVED -> requestArrived(at);
      case RESPONSE_STARTED -> responseStarted(at);
      case ATTEMPT_ENDED -> attemptEnded(at);
      case CLIENT_DISCONNECTED -> new GatewayEvent.ClientDisconnected(unsignedInt(at));
      case TIMER_FIRED -> new GatewayEvent.TimerFired(frame.getLong(at));
      case HEALTH_CHECKED -> healthChecked(at);
      case GOSSIP_RECEIVED -> gossipReceived(at);
      case COUNTER_REPLIED -> counterReplied(at);
      default -> throw new MalformedFrameException("unknown event code " + code(index));
    };
  }

  private GatewayEvent endpointsUpdated(int at) throws MalformedFrameException {
    ByteBuffer data = ByteBuffer.wrap(tailBytes(at + 5, ENDPOINT_BYTES))
        .order(ByteOrder.LITTLE_ENDIAN);
    List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
    for (int entry = 0; entry < data.capacity(); entry += ENDPOINT_BYTES) {
      endpoints.add(new GatewayEvent.Endpoint(data.getInt(entry) & 0xffffffffL,
          Ticks.ofMillis(data.getDouble(entry + 4)), data.getShort(entry + 12) & 0xffff,
          data.getShort(entry + 14) & 0xffff, pick(STATES, data.get(entry + 16)),
          data.getFloat(entry + 17), data.getShort(entry + 21) & 0xffff));
    }
    return new GatewayEvent.EndpointsUpdated(pick(UPDATE_KINDS, frame.get(at)), endpoints);
  }

  private GatewayEvent requestArrived(int at) {
    int requestClass = unsignedByte(at + 18);
    int plan = unsignedShort(at + 4);
    long customer = frame.getLong(at + 19);
    int nodeCount = Math.round(frame.getFloat(at + 14));
    int firstNode = Math.round(frame.getFloat(at + 33));
    boolean retry = (frame.getShort(at + 27) & RETRY_FLAG) != 0;
    return new GatewayEvent.RequestArrived(unsignedInt(at), requestClass, plan, customer,
        ticks(at + 6), frame.getFloat(at + 29), nodeCount, firstNode, retry, 0);
  }

  private GatewayEvent responseStarted(int at) {
    return new GatewayEvent.ResponseStarted(unsignedInt(at), unsignedInt(at + 12),
        unsignedByte(at + 16), ticks(at + 4));
  }

  private GatewayEvent attemptEnded(int at) throws MalformedFrameException {
    boolean requestFinished = frame.get(at + 4) != 0;
    double fleetUtilization = unsignedShort(at + 5);
    double actualUnits = unsignedShort(at + 12);
    return new GatewayEvent.AttemptEnded(unsignedInt(at), unsignedInt(at + 7),
        unsignedByte(at + 22), pick(OUTCOMES, frame.get(at + 11)), requestFinished, ticks(at + 14),
        actualUnits, fleetUtilization, loadReport(at + 23));
  }

  private GatewayEvent healthChecked(int at) throws MalformedFrameException {
    return new GatewayEvent.HealthChecked(unsignedInt(at + 8), pick(OUTCOMES, frame.get(at + 12)),
        ticks(at), loadReport(at + 13));
  }

  private GatewayEvent gossipReceived(int at) throws MalformedFrameException {
    GossipMessage message = GossipCodec.decode(tailBytes(at + 2, 1));
    return message == null ? null : new GatewayEvent.GossipReceived(unsignedShort(at), message);
  }

  private GatewayEvent counterReplied(int at) throws MalformedFrameException {
    return new GatewayEvent.CounterReplied(frame.getLong(at), pick(OUTCOMES, frame.get(at + 8)),
        frame.getFloat(at + 9), ticks(at + 13));
  }

  private List<Double> loadReport(int at) throws MalformedFrameException {
    int count = unsignedByte(at);
    if (count > MAX_LOAD_VALUES) {
      throw new MalformedFrameException("a load report cannot have " + count + " values");
    }
    List<Double> values = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      values.add((double) frame.getFloat(at + 1 + Float.BYTES * i));
    }
    return values;
  }

  private static int at(int index) {
    return HEADER_BYTES + index * RECORD_BYTES;
  }

  private static int body(int index) {
    return at(index) + BODY_AT;
  }

  private long ticks(int at) {
    return Ticks.ofMillis(frame.getDouble(at));
  }

  private int unsignedByte(int at) {
    return frame.get(at) & 0xff;
  }

  private int unsignedShort(int at) {
    return frame.getShort(at) & 0xffff;
  }

  private long unsignedInt(int at) {
    return frame.getInt(at) & 0xffffffffL;
  }

  /** The bytes in the tail that a field names by place and number of entries. */
  private byte[] tailBytes(int at, int entryBytes) throws MalformedFrameException {
    long from = tailAt + unsignedInt(at);
    long size = unsignedInt(at + 4) * entryBytes;
    if (from + size > frame.capacity()) {
      throw new MalformedFrameException("a field points behind the tail's end");
    }
    byte[] data = new byte[(int) size];
    frame.get((int) from, data);
    return data;
  }

  private static <E> E pick(E[] values, byte code) throws MalformedFrameException {
    if (code < 0 || code >= values.length) {
      throw new MalformedFrameException("code " + code + " is not one of " + values.length);
    }
    return values[code];
  }
}
