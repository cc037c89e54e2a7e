package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

/**
 * An app server: answers each command with a value made for it, an absent figure on use and a load
 * report. It is some way off: a command arrives, and an answer leaves, {@code oneWayMs} late.
 */
final class AppServer implements AutoCloseable {
  /** What an app server does with a command that has arrived. */
  interface Work {
    /** Runs on the connection's thread; answers through the connection. */
    void run(AppServer server, Connection connection, Command command)
        throws IOException, InterruptedException;
  }

  /** A command and the time at which its last byte was read. */
  record Command(String[] words, double readAtMs) {
    String verb() {
      return words[0];
    }

    String id() {
      return words[2];
    }
  }

  final String name;
  final double oneWayMs;
  final Recorder record;
  private final ServerSocket listener;
  private final Work work;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  AppServer(String name, double oneWayMs, Recorder record, Work work) throws IOException {
    this.name = name;
    this.oneWayMs = oneWayMs;
    this.record = record;
    this.work = work;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the value that an app server makes for a request. */
  static String valueFor(String id) {
    return "value-of-" + id;
  }

  static void sleepMs(double ms) throws InterruptedException {
    if (ms > 0) Thread.sleep((long) ms, (int) ((ms - (long) ms) * 999_999));
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Connection connection = new Connection(socket);
        Threads.start(connection::read);
        Threads.start(connection::serve);
      } catch (IOException e) {
        return;
      }
    }
  }

  /** One connection of a node. */
  final class Connection {
    final Socket socket;
    private final Deque<Command> waiting = new ConcurrentLinkedDeque<>();
    private volatile boolean ended;

    Connection(Socket socket) {
      this.socket = socket;
    }

    private void read() {
      try (BufferedInputStream in = new BufferedInputStream(socket.getInputStream())) {
        for (String[] words = Resp.readCommand(in); words != null; words = Resp.readCommand(in)) {
          synchronized (waiting) {
            waiting.add(new Command(words, record.nowMs()));
            waiting.notifyAll();
          }
        }
      } catch (IOException e) {
        // The node has reset the connection.
      }
      ended = true;
      synchronized (waiting) {
        waiting.notifyAll();
      }
    }

    private void serve() {
      try {
        for (Command command = next(); command != null; command = next()) {
          sleepMs(command.readAtMs() + oneWayMs - record.nowMs());
          if (command.verb().startsWith("SVC.")) {
            work.run(AppServer.this, this, command);
          } else if (command.verb().equals("PING")) {
            write("+PONG\r\n");
          } else if (command.verb().equals("INFO")) {
            write(Resp.bulk("throughput=10,backlog=0"));
          } else {
            write("-ERR unknown\r\n");
          }
        }
      } catch (IOException | InterruptedException e) {
        // The node has closed the connection: nobody waits for the answer.
      }
      open.remove(socket);
      try {
        socket.close();
      } catch (IOException e) {
        return;
      }
    }

    private Command next() throws InterruptedException {
      synchronized (waiting) {
        while (waiting.isEmpty() && !ended) waiting.wait();
      }
      return waiting.poll();
    }

    /** Returns whether the node has ended the connection. */
    boolean hasEnded() {
      return ended;
    }

    /** Returns whether another command has arrived at the app server by now. */
    boolean isCommandWaiting() {
      Command first = waiting.peek();
      return first != null && first.readAtMs() + oneWayMs <= record.nowMs();
    }

    /** Sends an answer, which reaches the node {@code oneWayMs} later. */
    void write(String answer) throws IOException, InterruptedException {
      sleepMs(oneWayMs);
      OutputStream out = socket.getOutputStream();
      out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Sends the value made for this command. */
    void serve(Command command) throws IOException, InterruptedException {
      write(answerTo(command));
    }

    String answerTo(Command command) {
      return "*3\r\n" + Resp.bulk(valueFor(command.id())) + "$-1\r\n"
          + Resp.bulk("throughput=10,backlog=0");
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : open) socket.close();
  }
}
