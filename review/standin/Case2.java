package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some hundreds of clients write a request in pieces, stop before its end and stay. The usual
 * clients' requests have to get their answers meanwhile.
 */
final class Case2 {
  private static final int APP_SERVERS = 14;
  private static final double REQUESTS_PER_SECOND = 140;
  private static final double SECONDS_BEFORE = 4;
  private static final double SECONDS_IN_ALL = 36;
  private static final int ROUNDS = 4;
  private static final int STOPPING_CLIENTS = 324;
  /** With those that stop they are 340, under a third of the node's 1,024 descriptors. */
  private static final int USUAL_CONNECTIONS = 16;
  /** The longest value that the protocol allows, and what is missing of the command. */
  private static final int BODY_BYTES = 64 * 1024;
  private static final int MISSING_BYTES = 2;
  private static final int PIECES = 20;
  private static final double BETWEEN_PIECES_MS = 30;
  /** A client that stops in the middle of a request is owed an error or a close within this. */
  private static final int OWED_WITHIN_MS = 3_050;
  private static final double MIN_WORK_MS = 50;
  private static final double MAX_WORK_MS = 150;

  private final boolean trouble;
  private final Recorder record;
  private final Random random = new Random(5);
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger heardInTime = new AtomicInteger();
  private final AtomicInteger notHeardInTime = new AtomicInteger();

  private Case2(Recorder record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  private void work(AppServer server, AppServer.Connection connection, AppServer.Command command)
      throws IOException, InterruptedException {
    record.line("%s begins %s", server.name, command.id());
    AppServer.sleepMs(MIN_WORK_MS + random.nextDouble() * (MAX_WORK_MS - MIN_WORK_MS));
    connection.serve(command);
    record.line("%s answers %s", server.name, command.id());
  }

  private void answered(String id, NodeProcess node, String answer) {
    if (answer == null) {
      record.line("BROKEN: %s at %s got no answer", id, node.name);
      lost.incrementAndGet();
    } else if (answer.startsWith("$")) {
      served.incrementAndGet();
    } else if (answer.startsWith("-BUSY")) {
      refused.incrementAndGet();
    } else {
      failed.incrementAndGet();
    }
  }

  /** Writes all but the end of a request, and stays until the node answers or closes. */
  private void stopInTheMiddle(NodeProcess node, int number) {
    String begin = new String(Resp.command("SVC.SUBMIT", "00000001b4d65000",
        String.format("%016x", 0x6c00000000000000L + number),
        "c=place-order,t=volume,d=8000,units=1,spread=2,first=0", "b".repeat(BODY_BYTES)),
        StandardCharsets.ISO_8859_1);
    byte[] bytes = begin.substring(0, begin.length() - MISSING_BYTES)
        .getBytes(StandardCharsets.ISO_8859_1);
    try (Socket socket = new Socket("127.0.0.1", node.port)) {
      OutputStream out = socket.getOutputStream();
      InputStream in = socket.getInputStream();
      int pieceBytes = bytes.length / PIECES + 1;
      for (int at = 0; at < bytes.length; at += pieceBytes) {
        out.write(bytes, at, Math.min(pieceBytes, bytes.length - at));
        AppServer.sleepMs(BETWEEN_PIECES_MS);
      }
      socket.setSoTimeout(OWED_WITHIN_MS);
      in.read();
      heardInTime.incrementAndGet();
    } catch (SocketTimeoutException e) {
      notHeardInTime.incrementAndGet();
    } catch (IOException e) {
      heardInTime.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void disturb(NodeProcess node) throws InterruptedException {
    for (int round = 0; round < ROUNDS; round++) {
      record.line("%d clients begin a request at %s and stop in its middle", STOPPING_CLIENTS,
          node.name);
      CountDownLatch ended = new CountDownLatch(STOPPING_CLIENTS);
      for (int i = 0; i < STOPPING_CLIENTS; i++) {
        int number = round * STOPPING_CLIENTS + i;
        Threads.start(() -> {
          stopInTheMiddle(node, number);
          ended.countDown();
        });
      }
      ended.await(20, TimeUnit.SECONDS);
      record.line("all of them are gone");
    }
  }

  private int play(Path root) throws IOException, InterruptedException {
    try (Deployment deployment = new Deployment(record, root, APP_SERVERS, this::work)) {
      if (!deployment.start()) return Verdict.COULD_NOT_RUN;
      Clients clients = new Clients(record, deployment.nodes, 7, USUAL_CONNECTIONS,
          this::answered);
      double endsAtMs = record.nowMs() + SECONDS_IN_ALL * 1000;
      Thread load = Threads.start(() -> {
        try {
          clients.sendUntil(endsAtMs, REQUESTS_PER_SECOND);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      AppServer.sleepMs(SECONDS_BEFORE * 1000);
      if (trouble) disturb(deployment.nodes.get(0));
      load.join();
      clients.awaitAnswers(12_000);
      record.say("usual clients: served %d, refused %d, failed %d, no final answer %d, not sent %d",
          served.get(), refused.get(), failed.get(), lost.get(), clients.notSent());
      record.say("clients that stopped: error or close within 3 s %d, neither %d",
          heardInTime.get(), notHeardInTime.get());
      for (NodeProcess node : deployment.nodes) {
        if (!node.isAlive()) record.say("BROKEN: %s has crashed", node.name);
      }
      boolean broken = lost.get() > 0 || deployment.nodes.stream().anyMatch(node -> !node.isAlive());
      return broken ? Verdict.BROKEN : Verdict.HELD;
    }
  }

  public static void main(String[] arguments) throws Exception {
    Verdict.run(arguments, (record, root, trouble) -> new Case2(record, trouble).play(root));
  }
}
