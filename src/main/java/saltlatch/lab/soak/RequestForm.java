package saltlatch.lab.soak;

import java.util.ArrayList;
import java.util.List;
import saltlatch.lab.rig.CommandText;

/** How a client writes its requests. */
public enum RequestForm {
  /** One request in one write. */
  WHOLE,
  /** One request in three writes. */
  PIECES,
  /** Four requests in one write. */
  PIPELINED;

  private static final int PIECES_OF_REQUEST = 3;
  private static final int PIPELINED_REQUESTS = 4;

  /** Returns the number of requests of one client. */
  int requests() {
    return this == PIPELINED ? PIPELINED_REQUESTS : 1;
  }

  /** Returns what is written, one piece after another; {@code name} is unique to the client. */
  List<String> pieces(String name, long deadlineMs) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < requests(); i++) text.append(request(name + "-" + i, deadlineMs));
    return this == PIECES ? cut(text.toString()) : List.of(text.toString());
  }

  private static String request(String id, long deadlineMs) {
    return CommandText.of("SVC.QUERY", "0000000000000007", id, "c=read,t=plan,d=" + deadlineMs);
  }

  private static List<String> cut(String text) {
    List<String> pieces = new ArrayList<>();
    int length = text.length() / PIECES_OF_REQUEST;
    for (int i = 0; i < PIECES_OF_REQUEST - 1; i++)
      pieces.add(text.substring(i * length, (i + 1) * length));
    pieces.add(text.substring((PIECES_OF_REQUEST - 1) * length));
    return pieces;
  }
}
