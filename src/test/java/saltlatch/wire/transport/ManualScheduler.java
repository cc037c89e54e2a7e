package saltlatch.wire.transport;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import saltlatch.state.TimerQueue;

/** A scheduler on an event loop whose clock is advanced only by the test. */
public final class ManualScheduler implements Scheduler {
  private static final long WAIT_SECONDS = 20;

  private final Context loop;
  private final TimerQueue timers = new TimerQueue();
  private long nowTicks = 1_000_000;

  /** Creates a scheduler whose clock starts at 100 s. */
  public ManualScheduler(Context loop) {
    this.loop = loop;
  }

  @Override
  public long now() {
    return nowTicks;
  }

  @Override
  public TimerQueue.Timer scheduleAt(long dueTicks, Runnable action) {
    return timers.add(dueTicks, action);
  }

  @Override
  public void afterCurrentIteration(Runnable action) {
    loop.runOnContext(v -> loop.runOnContext(w -> action.run()));
  }

  /** Advances the clock and runs due timers; must be called from outside the loop's thread. */
  public void advance(long ticks) throws Exception {
    runOnLoop(() -> advanceOnLoop(ticks));
  }

  /** Advances the clock and runs due timers; must be called on the loop. */
  public void advanceOnLoop(long ticks) {
    nowTicks += ticks;
    timers.runDue(nowTicks);
  }

  /** Advances the clock as a step of the loop does that takes this long; runs no timers. */
  public void spend(long ticks) {
    nowTicks += ticks;
  }

  /** Runs a step on the loop and returns after it has finished. */
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

  /** Returns once the condition, which is evaluated on the loop, is true. */
  public void awaitOnLoop(BooleanSupplier condition) throws Exception {
    boolean[] reached = new boolean[1];
    while (!reached[0]) runOnLoop(() -> reached[0] = condition.getAsBoolean());
  }

  /** Waits for a future of the loop and returns its result. */
  public static <T> T await(Future<T> result) throws Exception {
    return result.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
