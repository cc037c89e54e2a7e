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
 * One watch at one upstream, from its opening to its end; it ends once, and gives no
 * event behind that.
 */
final class UpstreamWatch {
  /** Gets its events, on the event loop. */
  interface Listener {
    /** It was answered with status 200. */
    void opened(int upstream);

    /** A whole line has come. */
    void updateReceived(int upstream, Update update);

    /** An empty line has come, or a part of a long one. */
    void alive(int upstream);

    /** It has ended otherwise than by {@link UpstreamWatch#close()}. */
    void failed(int upstream, Failure failure, String cause);
  }

  private static final int OK = 200;

  private final Context loop;
  private final int upstream;
  private final Listener host;
  private final WatchParser parser;
  private HttpClientRequest request;
  private HttpClientResponse response;
  private boolean ended;

  UpstreamWatch(Context loop, int upstream, int maxEntries, Listener host) {
    this.loop = loop;
    this.upstream = upstream;
    this.host = host;
    this.parser = new WatchParser(maxEntries, new WatchParser.Listener() {
      @Override
      public void updateReceived(Update update) {
        if (!ended) host.updateReceived(upstream, update);
      }

      @Override
      public void keptAlive() {
        if (!ended) host.alive(upstream);
      }
    });
  }

  /** Asks for what comes after {@code since}. */
  void open(HttpClient client, SocketAddress address, Version since) {
    String series = since.series() > 0 ? "&series=" + since.series() : "";
    String path = "/api/targets?follow=1&since=" + since.index() + series;
    client.request(HttpMethod.GET, address.port(), address.host(), path).onComplete(made -> {
      if (made.failed()) {
        fail(Failure.CONNECTION, made.cause().toString());
      } else if (ended) {
        made.result().reset();
      } else {
        send(made.result());
      }
    });
  }

  /** Ends it from this side. */
  void close() {
    ended = true;
    if (request != null) request.reset();
  }

  private void send(HttpClientRequest made) {
    request = made;
    request.exceptionHandler(e -> fail(Failure.CONNECTION, e.toString()));
    request.send().onFailure(e -> fail(Failure.CONNECTION, e.toString())).onSuccess(this::answered);
  }

  private void answered(HttpClientResponse answer) {
    if (ended) return;
    if (answer.statusCode() != OK) {
      fail(Failure.STATUS, "status " + answer.statusCode());
      return;
    }
    response = answer;
    response.exceptionHandler(e -> fail(Failure.CONNECTION, e.toString()));
    response.endHandler(v -> fail(Failure.CONNECTION, "ended"));
    response.handler(this::read);
    response.pause();
    host.opened(upstream);
    response.fetch(1);
  }

  /** One buffer a turn of the loop: a whole list must not keep all else waiting. */
  private void read(Buffer buffer) {
    if (ended) return;
    try {
      parser.feed(buffer.getBytes());
    } catch (MalformedWatchException e) {
      fail(Failure.MALFORMED, e.getMessage());
      return;
    }
    if (ended) return;
    host.alive(upstream);
    loop.runOnContext(v -> {
      if (!ended) response.fetch(1);
    });
  }

  private void fail(Failure failure, String cause) {
    if (ended) return;
    close();
    host.failed(upstream, failure, cause);
  }
}
