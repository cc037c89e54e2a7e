package saltlatch.wire.transport;

import java.util.Comparator;
import java.util.PriorityQueue;
import saltlatch.api.Ticks;

/**
 * Divides the event loop's time among the connections that have received messages, by start-time
 * fair queueing. A connection is processed as soon as its bytes are read, for at most
 * {@link #TURN_TICKS}; all connections together get at most {@link #ITERATION_TICKS} in an
 * iteration of the loop. What is left waits in a queue, of which a part is processed at each round,
 * a timer later. Guards against connections that send at full speed, whatever a message costs:
 * their messages would be processed in one iteration, and timers, replies and all other connections
 * would wait for seconds.
 *
 * <p>The queue is ordered by virtual time, in which a connection that sends more than fits into a
 * turn advances by the time that its turns take. One that sends little begins at the present
 * virtual time, ahead of those that send without end, however many these are.
 *
 * <p>A turn ends between two messages, so it exceeds its time by one message at most. Owned by the
 * event loop.
 */
public final class InputTurns {
  /** Processes the received messages of one connection. */
  public interface Processor {
    /**
     * Processes complete messages in their order until none is left or the turn is over. At least
     * one message may be processed.
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
    private double startTicks; // virtual time at which its next turn begins
    private long sequence; // orders those with the same start
    private boolean moreUnread;
    private boolean sendsMuch; // in the latest turn: more than its time or one read could take
    private boolean waiting;
    private boolean closed;

    private Participant(Processor processor) {
      this.processor = processor;
    }

    /**
     * Processes messages, now or in a later turn; called when bytes were read.
     *
     * @param moreMayBeUnread whether the read may have left bytes in the operating system
     */
    public void bytesReceived(boolean moreMayBeUnread) {
      moreUnread = moreMayBeUnread;
      if (waiting || closed) return;
      startTicks = Math.max(startTicks, virtualTicks);
      boolean isFirst = queue.isEmpty() || startTicks <= virtualTicks;
      if (!isFirst || iterationTicks >= iterationLimitTicks) enqueue(this);
      else takeTurn(this);
    }

    /** Returns whether received messages wait for a turn. */
    public boolean isWaiting() {
      return waiting && !closed;
    }

    /** Takes no further turn. */
    public void close() {
      closed = true;
    }
  }

  private static final long TURN_TICKS = Ticks.PER_MILLISECOND / 2;
  private static final long ITERATION_TICKS = Ticks.PER_MILLISECOND;
  /** A turn in which the process lost its core seems to be far longer than it was. */
  private static final double MAX_CHARGE_TICKS = 2 * TURN_TICKS;
  /** Lets the loop wait for other events, and other processes use the core, between two rounds. */
  private static final long ROUND_INTERVAL_TICKS = Ticks.PER_MILLISECOND;

  private final Scheduler scheduler;
  private final Turn turn = new Turn();
  private final PriorityQueue<Participant> queue = new PriorityQueue<>(Comparator
      .<Participant>comparingDouble(waiting -> waiting.startTicks)
      .thenComparing(waiting -> waiting.sendsMuch).thenComparingLong(waiting -> waiting.sequence));
  private double virtualTicks; // the start of the latest turn
  private double iterationTicks; // used by turns in this iteration
  private boolean iterationEndScheduled;
  private boolean roundScheduled;
  private long deferrals;
  private double iterationLimitTicks = ITERATION_TICKS;

  /** Creates an empty queue. */
  public InputTurns(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Adds a connection. */
  public Participant join(Processor processor) {
    return new Participant(processor);
  }

  /**
   * Gives each connection a turn in each iteration from now on, however many these are. Called when
   * the node is about to terminate: messages that were read must be answered before, also on a core
   * that is shared with others, where turns seem far longer than they are.
   */
  public void removeIterationLimit() {
    iterationLimitTicks = Double.POSITIVE_INFINITY;
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

  private void takeTurn(Participant participant) {
    scheduleIterationEnd();
    virtualTicks = participant.startTicks;
    long beganTicks = scheduler.now();
    double usedBefore = iterationTicks;
    turn.endTicks = (double) beganTicks + TURN_TICKS;
    boolean isUnfinished = true; // also if a message fails: those behind it are processed later
    try {
      isUnfinished = participant.processor.processMessages(turn);
    } finally {
      iterationTicks += scheduler.now() - beganTicks;
      participant.sendsMuch = isUnfinished || participant.moreUnread;
      if (participant.sendsMuch)
        participant.startTicks += Math.min(MAX_CHARGE_TICKS, iterationTicks - usedBefore);
      if (isUnfinished) enqueue(participant);
    }
  }

  private void scheduleIterationEnd() {
    if (iterationEndScheduled) return;
    iterationEndScheduled = true;
    scheduler.afterCurrentIteration(() -> {
      iterationEndScheduled = false;
      iterationTicks = 0;
    });
  }

  private void enqueue(Participant participant) {
    deferrals++;
    participant.waiting = true;
    participant.sequence = deferrals;
    queue.add(participant);
    scheduleRound();
  }

  private void scheduleRound() {
    if (roundScheduled || queue.isEmpty()) return;
    roundScheduled = true;
    scheduler.scheduleAt(scheduler.now() + ROUND_INTERVAL_TICKS, this::runRound);
  }

  /** Gives each waiting connection one turn at most, and one of them a turn in any case. */
  private void runRound() {
    roundScheduled = false;
    int turnsLeft = queue.size();
    try {
      do {
        Participant next = queue.poll();
        next.waiting = false;
        if (!next.closed) takeTurn(next);
        turnsLeft--;
      } while (turnsLeft > 0 && iterationTicks < iterationLimitTicks);
    } finally {
      scheduleRound();
    }
  }
}
