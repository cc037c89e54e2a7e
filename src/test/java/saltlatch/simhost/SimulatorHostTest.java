package saltlatch.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GossipMessage;
import saltlatch.policy.PolicyEngine;

/** Tests the simulator host's bytes in and out with policies that take every kind of action. */
class SimulatorHostTest {
  /** The events that an instance receives, one on each line. */
  private static final String EXPECTED_EVENTS = """
      IDEMPOTENT_BY_KEY 10000
      RequestArrived[requestId=1564119492, requestClass=0, plan=0, \
      customer=-7930773538597631388, \
      clientTimeoutTicks=2400, estimatedUnits=2.0, nodeCount=3, firstNode=1, \
      retry=true, ageTicks=0]
      ResponseStarted[requestId=1564119492, serverId=51530247, attempt=1, elapsedTicks=92]
      AttemptEnded[requestId=1564119492, serverId=51530247, attempt=2, outcome=SUCCEEDED, \
      requestFinished=true, \
      elapsedTicks=185, actualUnits=3.0, fleetUtilization=86.0, loadReport=[1.0]]
      ClientDisconnected[requestId=242166553]
      TimerFired[timerId=77]
      HealthChecked[serverId=747639282, outcome=CONNECT_FAILED, elapsedTicks=30, \
      loadReport=[]]
      heard 2
      CounterReplied[counterName=9041552, outcome=TIMED_OUT, total=38.0, elapsedTicks=20]
      """;

  /** The frame of the actions that {@link #takeEveryAction} takes, in hexadecimal. */
  private static final String[] EXPECTED_REPLY = {"21010000 0b000000",
      "0301 0300 c4913a5d 0000000000005440 074a1203 00000000",
      "0401 0300 192b6f0e 0000000000406f40 0000000000000000",
      "0601 0300 c4913a5d 00000000000000000000000000000000",
      "0501 0300 c4913a5d 02 000000000000000000000000000000",
      "0901 0300 000000000068c040 4d00000000000000 00000000",
      "0a01 0300 f211902c 00000000000000000000000000000000",
      "0001 0300 f211902c 00000000000000000000000000000000",
      "0b01 0300 90f6890000000000 00008040 000000000070a740",
      "0c01 0300 01 00000000000000000000000000000000000000",
      "0701 0300 ffff 00000000 01000000 00000000000000000000",
      "0801 0300 01000000 03000000 000000000000000000000000", "51 776879"};

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final StringBuilder received = new StringBuilder();

  private static final String SETTINGS = "{\"peersTotal\":2,\"quantum\":2.0,"
      + "\"unknown\":{\"x\":[1]},"
      + "\"categories\":[{\"effect\":\"deduplicated\",\"keyScope\":\"cell\","
      + "\"window\":8000,\"aim\":1000,\"deadline\":4000}],"
      + "\"limits\":{\"sendCap\":4},\"familyInfo\":{\"counter\":true,\"countLimit\":30}}";

  private int run(byte[] in, GatewayPolicy.Factory factory) throws IOException {
    return new SimulatorHost(factory).run(new ByteArrayInputStream(in), out, new PrintStream(err));
  }

  private static byte[] frame(double ms, byte[] tail, byte[]... records) {
    ByteBuffer frame = ByteBuffer.allocate(16 + 48 * records.length + tail.length)
        .order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(12 + 48 * records.length + tail.length).putDouble(ms).putInt(records.length);
    for (byte[] record : records) {
      frame.put(record, 0, record.length).position(frame.position() + 48 - record.length);
    }
    return frame.put(tail).array();
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replace(" ", ""));
  }

  private static byte[] attachRecord(int settingsBytes) {
    ByteBuffer record = ByteBuffer.allocate(20).order(ByteOrder.LITTLE_ENDIAN);
    return record.putShort((short) 256).putShort((short) 3).putLong(5).putInt(0)
        .putInt(settingsBytes).array();
  }

  private static byte[] settingsBytes() {
    return SETTINGS.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void emptyFrameGetsAnEmptyReply() throws IOException {
    assertEquals(0, run(frame(227.0625, new byte[0]), PolicyEngine::new));
    assertEquals("0400000000000000", HexFormat.of().formatHex(out.toByteArray()));
  }

  /**
   * Guards against a truncated reply. The buffer holds 256 records at first and must grow before an
   * action of any kind is written to the 257th one.
   */
  @Test
  void replyLargerThanItsBufferIsComplete() throws IOException {
    run(frame(1000, settingsBytes(), attachRecord(settingsBytes().length),
        hex("0601 0300 4d00000000000000")),
        (startTicks, settings, actions) -> (nowTicks, events) -> {
          for (int requestId = 0; requestId < 257; requestId++) actions.fail(requestId);
        });
    ByteBuffer reply = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
    assertEquals(257, reply.getInt(4));
    assertEquals(256, reply.getInt(8 + 24 * 256 + 4));
  }

  @Test
  void everyEventIsDecodedAndEveryActionEncoded() throws IOException {
    byte[][] records = {attachRecord(settingsBytes().length),
        hex("0201 0300 c4913a5d 0000 0000000000006e40 00004040 00 640ad2557c3bf091 "
            + "0200 00000040 0000803f"),
        hex("0301 0300 c4913a5d 0000000000802240 074a1203 01"),
        hex("0401 0300 c4913a5d 01 5600 074a1203 00 0300 0000000000803240 02 01 0000803f"),
        hex("0501 0300 192b6f0e"), hex("0601 0300 4d00000000000000"),
        hex("0701 0300 0000000000000840 f211902c 04"),
        hex("0801 0300 0200 " + littleEndianHex(settingsBytes().length) + " 01000000"),
        hex("0a01 0300 90f6890000000000 03 00001842 0000000000000040")};
    byte[] tail = Arrays.copyOf(settingsBytes(), settingsBytes().length + 1);
    tail[settingsBytes().length] = 0x51; // a gossip message without usage
    int exitCode = run(frame(1000, tail, records),
        (startTicks, settings, actions) -> (nowTicks, events) -> {
          received.append(settings.requestClasses().get(0).retrySafety()).append(' ')
              .append(nowTicks).append('\n');
          events
              .forEach(event -> received.append(event instanceof GatewayEvent.GossipReceived gossip
                  ? "heard " + gossip.sender() : event).append('\n'));
          takeEveryAction(actions);
        });
    assertEquals("", err.toString(StandardCharsets.UTF_8));
    assertEquals(0, exitCode);
    assertEquals(EXPECTED_EVENTS, received.toString());
    String expectedReply = String.join("", EXPECTED_REPLY).replace(" ", "");
    int replyBytes = expectedReply.length() / 2 - 4;
    expectedReply = littleEndianHex(replyBytes) + expectedReply.substring(8);
    assertEquals(expectedReply, HexFormat.of().formatHex(out.toByteArray()));
  }

  private static String littleEndianHex(int number) {
    return String.format("%08x", Integer.reverseBytes(number));
  }

  private static void takeEveryAction(GatewayActions actions) {
    actions.startAttempt(0x5d3a91c4L, 0x03124a07L, 800);
    actions.reject(0x0e6f2b19L, 2500);
    actions.fail(0x5d3a91c4L);
    actions.cancelAttempt(0x5d3a91c4L, 2);
    actions.setTimer(84000, 77);
    actions.checkHealth(0x2c9011f2L);
    actions.closeIdleConnections(0x2c9011f2L);
    actions.addToCounter(9041552, 4, 30000, 0);
    actions.watchEndpoints(true);
    actions.sendGossip(-1, new GossipMessage(List.of(), null));
    actions.log("why");
  }

  @Test
  void exceptionOfThePolicyIsReportedAsACrash() throws IOException {
    byte[] in = frame(1000, settingsBytes(), attachRecord(settingsBytes().length),
        hex("0601 0300 4d00000000000000"));
    assertEquals(0, run(in, (startTicks, settings, actions) -> (nowTicks, events) -> {
      throw new IllegalStateException("no such turn");
    }));
    assertEquals((byte) 2, out.toByteArray()[8]);
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("no such turn"));
  }

  @Test
  void malformedFramesEndTheProcessWithExitCode2() throws IOException {
    assertEquals(2, run(hex("0b000000 0000000000000000000000"), PolicyEngine::new));
    assertEquals(2, run(frame(1, new byte[0], hex("ff01 0300")), PolicyEngine::new));
    assertEquals(2, run(frame(1, new byte[0], attachRecord(9)), PolicyEngine::new));
    assertEquals(2,
        run(frame(1, "{x}".getBytes(StandardCharsets.UTF_8), attachRecord(3)), PolicyEngine::new));
    assertEquals(2,
        run(frame(1, "{}".getBytes(StandardCharsets.UTF_8), attachRecord(2)), PolicyEngine::new));
    assertEquals(0, out.size());
    assertEquals(5, err.toString(StandardCharsets.UTF_8).lines()
        .filter(line -> line.startsWith("saltlatch simhost: malformed")).count());
  }

  /**
   * Guards against events that reach the wrong instance: an instance is detached and attached again
   * in one frame, and the new instance must not receive the events before the detach record.
   */
  @Test
  void instanceAttachedAgainInOneFrameReceivesOnlyLaterEvents() throws IOException {
    byte[] in = frame(1000, settingsBytes(), attachRecord(settingsBytes().length), hex("0901 0300"),
        attachRecord(settingsBytes().length), hex("0601 0300 4d00000000000000"),
        hex("0501 0400 192b6f0e"));
    assertEquals(0, run(in, (startTicks, settings, actions) -> {
      received.append("start ");
      return (nowTicks, events) -> received.append(events.size());
    }));
    assertEquals("start start 1", received.toString());
  }
}
