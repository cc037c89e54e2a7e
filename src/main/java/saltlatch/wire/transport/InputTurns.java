package saltlatch.wire.transport;

import java.util.ArrayDeque;
import saltlatch.api.Ticks;

/**
 * Divides the event loop's time among the connections that have received messages. A connection is
 * processed as soon as its bytes are read, for at most {@link #TURN_TICKS}; all connections together
 * get at most {@link #ITERATION_TICKS} in an iteration of the loop. What is left waits in a queue,
 * of which a part is processed at each round, a timer later. Guards against connections that send at
 * full speed, whatever a message costs: their messages would be processed in one iteration, and
 * timers, replies and all other connections would wait for seconds.
 *
 * <p>Connections that have not had a turn since they began to wait go before the others, so that one
 * that sends little does not wait for those that send without end. A connection leaves the queue
 * only after a round without a message from it; until then its bytes wait for its next turn.
 *
 * <p>A turn ends between two messages, so it exceeds its time by one message at most. Owned by the
 * event loop.
 */
public final class InputTurns {
  /** Processes the received messages of one connection. */
  public interface Processor {
    /**
     * Processes complete messages in their order until none is left, none may be processed now, or
     * the turn is over. At least one message may be processed.
     *
     * @return whether the turn ended before the messages did
     */
    boolean processMessages(Turn turn);
  }

  /** The time that one connection has for its messages. */
  public final class Turn {
    private double endTicks;

    /** Returns whether another message may be processed; called after each one. */
    public boolean hasTime() {
      return scheduler.now() < endTicks;
    }
  }

  /** A connection's place among all others. */
  public final class Participant {
    private final Processor processor;
    private boolean queued;
    private boolean hasInput; // received bytes since the last turn, or that turn was too short
    private boolean closed;

    private Participant(Processor processor) {
      this.processor = processor;
    }

    /** Processes messages, now or in a later turn; called when some may be complete. */
    public void messagesReceived() {
      hasInput = true;
      if (queued || closed) return;
      if (iterationTicks >= ITERATION_TICKS) enqueue(this, firstTurns);
      else if (run(this)) enqueue(this, laterTurns);
    }

    /** Returns whether received messages wait for a turn. */
    public boolean isWaiting() {
      return queued && hasInput && !closed;
    }

    /** Takes no further turn. */
    public void close() {
      closed = true;
    }
  }

  private static final long TURN_TICKS = Ticks.PER_MILLISECOND / 2;
  private static final long ITERATION_TICKS = Ticks.PER_MILLISECOND;
  /** Lets the loop wait for other events, and other processes use the core, between two rounds. */
  private static final long ROUND_INTERVAL_TICKS = Ticks.PER_MILLISECOND;

  private final Scheduler scheduler;
  private final Turn turn = new Turn();
  private final ArrayDeque<Participant> firstTurns = new ArrayDeque<>();
  private final ArrayDeque<Participant> laterTurns = new ArrayDeque<>();
  private double iterationTicks; // used by turns in this iteration
  private boolean iterationEndScheduled;
  private boolean roundScheduled;
  private long deferrals;

  /** Creates an empty queue. */
  public InputTurns(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Adds a connection. */
  public Participant join(Processor processor) {
    return new Participant(processor);
  }

  /**
   * Takes time off the current turn for work that its message causes at the end of the iteration.
   * May be called while a message is processed.
   */
  public void addCost(double ticks) {
    turn.endTicks -= ticks;
    iterationTicks += ticks;
  }

  /** Returns how often messages had to wait for a turn since the start. */
  public long deferrals() {
    return deferrals;
  }

  private boolean run(Participant participant) {
    scheduleIterationEnd();
    long startTicks = scheduler.now();
    turn.endTicks = startTicks + TURN_TICKS;
    participant.hasInput = false;
    participant.hasInput |= participant.processor.processMessages(turn);
    iterationTicks += scheduler.now() - startTicks;
    return participant.hasInput;
  }

  private void scheduleIterationEnd() {
    if (iterationEndScheduled) return;
    iterationEndScheduled = true;
    scheduler.afterCurrentIteration(() -> {
      iterationEndScheduled = false;
      iterationTicks = 0;
    });
  }

  private void enqueue(Participant participant, ArrayDeque<Participant> queue) {
    deferrals++;
    participant.queued = true;
    queue.add(participant);
    scheduleRound();
  }

  private void scheduleRound() {
    if (roundScheduled) return;
    roundScheduled = true;
    scheduler.scheduleAt(scheduler.now() + ROUND_INTERVAL_TICKS, this::runRound);
  }

  private void runRound() {
    roundScheduled = false;
    runTurns();
    if (!firstTurns.isEmpty() || !laterTurns.isEmpty()) scheduleRound();
  }

  /** Gives each waiting connection one turn at most, and one of them a turn in any case. */
  private void runTurns() {
    int turnsLeft = firstTurns.size() + laterTurns.size();
    do {
      takeTurn(firstTurns.isEmpty() ? laterTurns.poll() : firstTurns.poll());
      turnsLeft--;
    } while (turnsLeft > 0 && iterationTicks < ITERATION_TICKS);
  }

  private void takeTurn(Participant participant) {
    boolean stays = participant.hasInput && !participant.closed;
    participant.queued = stays;
    if (!stays) return;
    laterTurns.add(participant);
    run(participant);
  }
}
