package saltlatch.wire.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Collects the bytes of one part of an object. */
final class PartBuffer extends ByteArrayOutputStream {
  private static final byte[] ENDPOINTS_KEY = ('"' + EndpointList.ENDPOINTS_KEY + '"')
      .getBytes(StandardCharsets.US_ASCII);

  /** Returns whether the bytes end with the key of the entries and a colon. */
  boolean endsWithEndpointsKey() {
    int end = endWithoutSpace(count);
    if (end == 0 || buf[end - 1] != ':') return false;
    int start = endWithoutSpace(end - 1) - ENDPOINTS_KEY.length;
    if (start < 0) return false;
    for (int i = 0; i < ENDPOINTS_KEY.length; i++) {
      if (buf[start + i] != ENDPOINTS_KEY[i]) return false;
    }
    return true;
  }

  /** Returns the end of the bytes before {@code end} without trailing white space. */
  private int endWithoutSpace(int end) {
    int trimmedEnd = end;
    while (trimmedEnd > 0 && JsonNesting.isSpace(buf[trimmedEnd - 1])) trimmedEnd--;
    return trimmedEnd;
  }

  boolean isBlank() {
    return endWithoutSpace(count) == 0;
  }

  String text() {
    return toString(StandardCharsets.UTF_8);
  }
}
