package saltlatch.wire.transport;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.concurrent.TimeUnit;
import saltlatch.state.TimerQueue;

/** A scheduler on an event loop whose clock stands still until a test moves it. */
public final class ManualScheduler implements Scheduler {
  private static final long WAIT_SECONDS = 20;

  private final Context loop;
  private final TimerQueue timers = new TimerQueue();
  private long nowTicks = 1_000_000;

  /** The clock starts 100 s after its origin. */
  public ManualScheduler(Context loop) {
    this.loop = loop;
  }

  @Override
  public long now() {
    return nowTicks;
  }

  @Override
  public TimerQueue.Timer scheduleAt(long when, Runnable then) {
    return timers.add(when, then);
  }

  @Override
  public void afterCurrentIteration(Runnable then) {
    loop.runOnContext(v -> loop.runOnContext(w -> then.run()));
  }

  /** Moves the clock and runs what has fallen due; from another thread. */
  public void advance(long ticks) throws Exception {
    runOnLoop(() -> advanceOnLoop(ticks));
  }

  /** Moves the clock and runs what has fallen due; on the loop. */
  public void advanceOnLoop(long ticks) {
    nowTicks += ticks;
    timers.runDue(nowTicks);
  }

  /** Runs a step on the loop and returns once it is done. */
  public void runOnLoop(Runnable step) throws Exception {
    Promise<Void> done = Promise.promise();
    loop.runOnContext(v -> {
      try {
        step.run();
        done.complete();
      } catch (RuntimeException e) {
        done.fail(e);
      }
    });
    await(done.future());
  }

  /** The result of what was begun on the loop. */
  public static <T> T await(Future<T> result) throws Exception {
    return result.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
