package saltlatch.relay;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import saltlatch.distribution.Distributor.Failure;
import saltlatch.distribution.Update;
import saltlatch.distribution.Version;

/**
 * One watch at one upstream, from its opening to its end. It ends exactly once and raises no event
 * after its end.
 */
final class UpstreamWatch {
  /** Receives the watch's events on the event loop. */
  interface Listener {
    /** Called when the upstream has answered with status 200. */
    void opened(int upstream);

    /** Called when a complete line with a list has been received. */
    void updateReceived(int upstream, Update update);

    /** Called when any bytes have been received: an empty line or a part of a line. */
    void alive(int upstream);

    /** Called when the watch has ended, unless {@link UpstreamWatch#close()} ended it. */
    void failed(int upstream, Failure failure, String cause);
  }

  private static final int OK = 200;

  private final Context loop;
  private final int upstream;
  private final Listener listener;
  private final WatchParser parser;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private boolean ended;

  UpstreamWatch(Context loop, int upstream, int maxEntries, Listener listener) {
    this.loop = loop;
    this.upstream = upstream;
    this.listener = listener;
    this.parser = new WatchParser(maxEntries, new WatchParser.Listener() {
      @Override
      public void updateReceived(Update update) {
        if (!ended) listener.updateReceived(upstream, update);
      }

      @Override
      public void keptAlive() {
        if (!ended) listener.alive(upstream);
      }
    });
  }

  /** Opens the watch, which requests the changes after {@code since}. */
  void open(HttpClient client, SocketAddress address, Version since) {
    String series = since.series() > 0 ? "&series=" + since.series() : "";
    String path = "/api/targets?follow=1&since=" + since.index() + series;
    client.request(HttpMethod.GET, address.port(), address.host(), path).onComplete(created -> {
      if (created.failed()) {
        fail(Failure.CONNECTION, created.cause().toString());
      } else if (ended) {
        created.result().reset();
      } else {
        sendRequest(created.result());
      }
    });
  }

  /** Ends the watch without an event. */
  void close() {
    ended = true;
    if (request != null) request.reset();
  }

  private void sendRequest(HttpClientRequest created) {
    request = created;
    request.exceptionHandler(e -> fail(Failure.CONNECTION, e.toString()));
    request.send().onFailure(e -> fail(Failure.CONNECTION, e.toString()))
        .onSuccess(this::responseReceived);
  }

  private void responseReceived(HttpClientResponse received) {
    if (ended) return;
    if (received.statusCode() != OK) {
      fail(Failure.STATUS, "expected status 200, found " + received.statusCode());
      return;
    }
    response = received;
    response.exceptionHandler(e -> fail(Failure.CONNECTION, e.toString()));
    response.endHandler(v -> fail(Failure.CONNECTION, "the upstream ended the response"));
    response.handler(this::read);
    response.pause();
    listener.opened(upstream);
    response.fetch(1);
  }

  /**
   * Parses one buffer per turn of the event loop, so that a snapshot does not delay other
   * connections.
   */
  private void read(Buffer buffer) {
    if (ended) return;
    try {
      parser.feed(buffer.getBytes());
    } catch (MalformedWatchException e) {
      fail(Failure.MALFORMED, e.getMessage());
      return;
    }
    if (ended) return;
    listener.alive(upstream);
    loop.runOnContext(v -> {
      if (!ended) response.fetch(1);
    });
  }

  private void fail(Failure failure, String cause) {
    if (ended) return;
    close();
    listener.failed(upstream, failure, cause);
  }
}
