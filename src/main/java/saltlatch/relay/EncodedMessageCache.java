package saltlatch.relay;

import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import saltlatch.distribution.Message;

/**
 * Shares one encoded form of each message among all watchers that it is sent to. The latest encoded
 * message of each kind is kept while no watcher uses it, so that watchers that connect one after
 * the other share it too.
 */
final class EncodedMessageCache {
  private final IdentityHashMap<Message, EncodedMessage> inUse = new IdentityHashMap<>();
  private final Map<Message.Kind, EncodedMessage> latest = new EnumMap<>(Message.Kind.class);
  private long encodings;

  /** Returns the message's encoded form, which the caller holds until {@link #release}. */
  EncodedMessage acquire(Message message) {
    EncodedMessage encoded = retain(message);
    EncodedMessage previous = latest.get(message.kind());
    if (previous != encoded) {
      latest.put(message.kind(), retain(message));
      if (previous != null) release(previous);
    }
    return encoded;
  }

  void release(EncodedMessage encoded) {
    if (encoded.removeUser()) inUse.remove(encoded.message());
  }

  /** Returns the bytes that all cached messages hold outside the heap. */
  long bytes() {
    return inUse.values().stream().mapToLong(EncodedMessage::bytes).sum();
  }

  /** Returns the number of messages encoded since the start. */
  long encodings() {
    return encodings;
  }

  private EncodedMessage retain(Message message) {
    EncodedMessage encoded = inUse.computeIfAbsent(message, absent -> {
      encodings++;
      return new EncodedMessage(absent);
    });
    encoded.addUser();
    return encoded;
  }
}
