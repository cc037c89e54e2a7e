package saltlatch.wire.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** The bytes of a part of an object, whose last ones can be looked at. */
final class PartBuffer extends ByteArrayOutputStream {
  private static final byte[] ENDPOINTS_KEY = ('"' + EndpointList.ENDPOINTS_KEY + '"')
      .getBytes(StandardCharsets.US_ASCII);

  /** Whether it ends with the key of the entries and a colon. */
  boolean endsWithEndpointsKey() {
    int end = withoutSpace(count);
    if (end == 0 || buf[end - 1] != ':') return false;
    int begin = withoutSpace(end - 1) - ENDPOINTS_KEY.length;
    if (begin < 0) return false;
    for (int i = 0; i < ENDPOINTS_KEY.length; i++) {
      if (buf[begin + i] != ENDPOINTS_KEY[i]) return false;
    }
    return true;
  }

  /** Where the last bytes before this end that are no space end. */
  private int withoutSpace(int end) {
    int at = end;
    while (at > 0 && JsonNesting.isSpace(buf[at - 1])) at--;
    return at;
  }

  boolean isBlank() {
    return withoutSpace(count) == 0;
  }

  String text() {
    return toString(StandardCharsets.UTF_8);
  }
}
