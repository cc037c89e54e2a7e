package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;

/**
 * Each test prints a short trace of decisions; the kept ones are in src/test/resources/traces, to
 * be read.
 */
class PolicyEngineTest {
  private static final int REPLAYABLE = 0;
  private static final int UNIQUED = 1;
  private static final int ONCE = 2;

  private final DecisionTrace t = new DecisionTrace(
      DecisionTrace.site(DecisionTrace.FIRM, false, false));

  /**
   * Under the limit a req passes on the total, at the limit it is denied and its reservation given
   * back.
   */
  @Test
  void ordinaryPath() throws IOException {
    t.list("11/1", "12/1");
    t.arrive(1, REPLAYABLE, 3);
    t.now += 20;
    t.counted(3);
    t.arrive(2, REPLAYABLE, 3);
    t.now += 20;
    t.counted(8); // another node charged 2
    t.arrive(3, REPLAYABLE, 3);
    t.now += 20;
    t.counted(11);
    t.now += 20;
    t.counted(8);
    t.ended(1, 0, AttemptOutcome.SUCCEEDED);
    t.ended(2, 0, AttemptOutcome.SUCCEEDED);
    t.matches("ordinary-path");
  }

  /** Many nodes with few reqs each: their rotations begin at different app srvs. */
  @Test
  void rotationsStartApart() {
    DecisionTrace other = new DecisionTrace(
        DecisionTrace.site(9, 2, DecisionTrace.FIRM, false, false));
    for (DecisionTrace node : List.of(t, other)) {
      node.list("11/1", "12/1", "13/1", "14/1", "15/1");
      node.arrive(1, REPLAYABLE, 1);
      node.counted(1);
    }
    assertEquals(List.of(1, 0), List.of(t.addToCounter("to 13"), other.addToCounter("to 13")));
  }

  /**
   * Units told afterwards: the reservation starts from the guess, is settled on its window and
   * learns.
   */
  @Test
  void settling() throws IOException {
    t.start(DecisionTrace.site(DecisionTrace.FIRM, true, false));
    t.list("11/1");
    t.arrive(1, REPLAYABLE, 1);
    t.counted(1);
    t.ended(1, 0, AttemptOutcome.SUCCEEDED, 3);
    t.counted(3);
    t.arrive(2, REPLAYABLE, 1);
    t.counted(9);
    t.ended(2, 0, AttemptOutcome.SUCCEEDED, 2);
    t.matches("settling");
  }

  /** Two reqs whose count calls get no answer: from then on calls are thinned. */
  private void jam(double units) {
    t.arrive(1, REPLAYABLE, units);
    t.arrive(2, REPLAYABLE, units);
    t.pass(300);
    t.counted(AttemptOutcome.TIMED_OUT);
    t.counted(AttemptOutcome.TIMED_OUT);
  }

  /**
   * No answers: two misses lead to the local share and a few testing calls; prompt answers lead
   * back.
   */
  @Test
  void silentCounter() throws IOException {
    t.list("11/1", "12/1", "13/1", "14/1");
    jam(1);
    for (int i = 3; i < 7; i++) {
      t.pass(50);
      t.arrive(i, REPLAYABLE, 1);
    }
    t.say("it answers again");
    for (int i = 7; i < 220; i++) {
      t.muted = i > 9 && i < 218;
      t.pass(100);
      t.counted(2);
      t.arrive(i, REPLAYABLE, 0.01);
      t.ended(i, 0, AttemptOutcome.SUCCEEDED);
    }
    t.counted(2);
    t.matches("silent-counter");
  }

  /**
   * What passes on a share is carried by the next call, so another node's total counts as it
   * stands.
   */
  @Test
  void jamChargesOnce() throws IOException {
    t.list("11/1", "12/1", "13/1", "14/1");
    jam(0.01);
    for (int i = 3; i < 24; i++) {
      t.muted = i > 4 && i < 23;
      t.pass(4);
      t.arrive(i, REPLAYABLE, 0.05);
      t.ended(i, 0, AttemptOutcome.SUCCEEDED);
    }
    t.pass(20);
    t.arrive(24, REPLAYABLE, 0.05);
    t.counted(3); // the test call of the jam
    t.counted(4); // what was passed since, and one unit of another node's
    t.pass(20);
    t.arrive(25, REPLAYABLE, 1);
    t.counted(5);
    t.matches("jam-charges-once");
  }

  /**
   * After two misses the gap closes within three seconds of answers, though reqs come seldomer than
   * it lets calls.
   */
  @Test
  void gapClosesAtFewReqs() {
    t.list("11/1", "12/1", "13/1", "14/1");
    jam(0.01);
    for (int i = 3; i < 70; i++) {
      t.pass(400);
      t.arrive(i, REPLAYABLE, 0.01);
      t.counted(0.01 * i);
      t.ended(i, 0, AttemptOutcome.SUCCEEDED);
    }
    int calls = t.addToCounter("-> count");
    for (int i = 70; i < 73; i++) t.arrive(i, REPLAYABLE, 0.01);
    assertEquals(3, t.addToCounter("-> count") - calls);
  }

  /**
   * A customer that comes mostly through others has less than an even share here while the counter
   * is silent.
   */
  @Test
  void seldomHere() throws IOException {
    t.list("11/1", "12/1", "13/1", "14/1");
    t.muted = true;
    for (int i = 1; i < 40; i++) {
      t.pass(30_000);
      t.arrive(i, REPLAYABLE, 0.1);
      t.counted(3);
      t.ended(i, 0, AttemptOutcome.SUCCEEDED);
    }
    t.pass(60_000);
    t.muted = false;
    for (int i = 40; i < 46; i++) t.arrive(i, REPLAYABLE, 1);
    t.pass(300);
    for (int i = 40; i < 46; i++) {
      t.counted(AttemptOutcome.TIMED_OUT);
      t.ended(i, 0, AttemptOutcome.SUCCEEDED);
    }
    t.matches("seldom-here");
  }

  /**
   * A count call that broke off may have counted, one that was turned away has not: only that is
   * owed again.
   */
  @Test
  void brokenCount() throws IOException {
    t.list("11/1", "12/1", "13/1", "14/1");
    t.arrive(1, REPLAYABLE, 1);
    t.counted(AttemptOutcome.CONNECTION_LOST);
    t.arrive(2, REPLAYABLE, 1);
    t.counted(1);
    t.arrive(3, REPLAYABLE, 1);
    t.counted(AttemptOutcome.SERVER_BUSY);
    t.arrive(4, REPLAYABLE, 1);
    t.counted(4);
    t.matches("broken-count");
  }

  /**
   * 200 nodes must not test a jammed counter into a longer jam: each calls far less than one of two
   * does.
   */
  @Test
  void jamOfManyNodes() {
    DecisionTrace many = new DecisionTrace(
        DecisionTrace.site(7, 200, DecisionTrace.FIRM, false, false));
    for (DecisionTrace node : List.of(t, many)) {
      node.list("11/1");
      for (int i = 0; i < 200; i++) {
        node.arrive(i, REPLAYABLE, 0.01);
        node.pass(300);
        node.counted(AttemptOutcome.TIMED_OUT);
        node.ended(i, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(List.of(47, 12),
        List.of(t.addToCounter("-> count"), many.addToCounter("-> count")));
  }

  /** A counter that never answers still leaves every req with one final answer in time. */
  @Test
  void neverAnswered() throws IOException {
    t.list("11/1");
    t.arrive(1, REPLAYABLE, 1);
    t.pass(40_000);
    t.matches("never-answered");
  }

  /**
   * A total below what this node was answered for: the known floor decides for the rest of the
   * window.
   */
  @Test
  void lostCounts() throws IOException {
    t.list("11/1");
    t.arrive(1, REPLAYABLE, 3);
    t.counted(5);
    t.arrive(2, REPLAYABLE, 1);
    t.counted(1); // 5 was forgotten
    t.arrive(3, REPLAYABLE, 1);
    t.counted(2);
    t.matches("lost-counts");
  }

  /**
   * Once spent or in a jam, first tries take the room there is; further tries come too late and are
   * denied.
   */
  @Test
  void furtherTries() throws IOException {
    t.list("11/1", "12/1", "13/1");
    t.arrive(1, REPLAYABLE, 6);
    t.counted(6);
    t.arrive(2, REPLAYABLE, 1);
    t.counted(7);
    t.counted(6);
    t.pass(10_000);
    t.arrive(3, REPLAYABLE, 1, true);
    t.counted(7);
    t.counted(6);
    t.arrive(4, REPLAYABLE, 1);
    t.counted(7);
    t.arrive(5, REPLAYABLE, 0.1);
    t.counted(AttemptOutcome.TIMED_OUT);
    t.arrive(6, REPLAYABLE, 0.1);
    t.counted(AttemptOutcome.TIMED_OUT); // calls are thinned from here on
    t.arrive(7, REPLAYABLE, 0.1, true);
    t.arrive(8, REPLAYABLE, 0.1);
    t.matches("further-tries");
  }

  /**
   * A non-replayable dispatch that may have run ends in an abort; one that never ran goes
   * elsewhere.
   */
  @Test
  void nonReplayable() throws IOException {
    t.list("11/1", "12/1");
    t.arrive(1, ONCE, 1);
    t.counted(1);
    t.ended(1, 0, AttemptOutcome.SERVER_BUSY);
    t.ended(1, 1, AttemptOutcome.TIMED_OUT);
    t.arrive(2, ONCE, 1);
    t.counted(2);
    t.ended(2, 0, AttemptOutcome.CONNECT_FAILED);
    t.ended(2, 1, AttemptOutcome.CONNECT_FAILED);
    t.ended(2, 2, AttemptOutcome.CONNECT_FAILED);
    t.ended(2, 3, AttemptOutcome.CONNECT_FAILED);
    t.matches("non-replayable");
  }

  /**
   * A uniqued req that may have run is repeated in its cell while that remembers it, and aborted
   * after.
   */
  @Test
  void uniqued() throws IOException {
    t.list("11/1", "12/2", "13/1");
    t.arrive(1, UNIQUED, 1);
    t.counted(1);
    t.ended(1, 0, AttemptOutcome.CONNECTION_LOST);
    t.ended(1, 1, AttemptOutcome.CONNECTION_LOST);
    t.arrive(2, UNIQUED, 1);
    t.counted(2);
    t.pass(19_990);
    t.ended(2, 0, AttemptOutcome.CONNECTION_LOST);
    t.list("12/2");
    t.arrive(3, UNIQUED, 1);
    t.counted(1);
    t.list("11/1");
    t.ended(3, 0, AttemptOutcome.SERVER_ERROR);
    t.matches("uniqued");
  }

  /** Nothing new goes to an app srv that drains or left the list, not even a further dispatch. */
  @Test
  void drains() throws IOException {
    t.list("11/1", "12/1");
    t.arrive(1, REPLAYABLE, 1);
    t.counted(1);
    t.list("11/1 draining");
    t.ended(1, 0, AttemptOutcome.SERVER_BUSY);
    t.arrive(2, REPLAYABLE, 1);
    t.counted(2);
    t.counted(1);
    t.list("12/1");
    t.arrive(3, REPLAYABLE, 1);
    t.counted(2);
    t.say("total 4.0 and an empty list at once: what was charged is given back");
    t.arrive(4, REPLAYABLE, 1);
    t.sendGossip(t.answer(4),
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, List.of()));
    t.pass(1_000);
    t.matches("drains");
  }

  /** A cold app srv beside a warm one gets its first req and then only what the budget holds. */
  @Test
  void coldStart() {
    t.start(DecisionTrace.site(DecisionTrace.NO_QUOTA, false, false));
    t.list("11/1", "12/1", "13/1", "14/1", "15/1 cold");
    for (int i = 0; i < 200; i++) {
      t.arrive(i, REPLAYABLE, 1);
      t.now += 50;
      if (t.addToCounter("dispatch req " + i + " to") > 0) {
        t.ended(i, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(200, t.addToCounter("dispatch req"));
    assertTrue(t.addToCounter("to 15 for") >= 1 && t.addToCounter("to 15 for") <= 16,
        "cold got " + t.addToCounter("to 15 for"));
  }

  /** The ceiling's part is empty at start and after a restart: a restart fills nothing. */
  @Test
  void ceilingAcrossRestart() throws IOException {
    GatewaySettings site = DecisionTrace.site(new GatewaySettings.QuotaPlan(20, 60, 0, 10, 20, 1),
        false, false);
    t.start(site);
    t.list("11/1");
    t.arrive(1, REPLAYABLE, 4);
    t.counted(4);
    t.counted(0);
    t.pass(10_000);
    t.arrive(2, REPLAYABLE, 4);
    t.counted(4);
    t.say("restart");
    t.start(site);
    t.list("11/1");
    t.arrive(3, REPLAYABLE, 4);
    t.counted(8);
    t.matches("ceiling-across-restart");
  }

  /**
   * A req every 2.5 s over six app srvs, one of which never answers: its record outlasts several
   * turns.
   */
  @Test
  void remembersAtFewReqs() {
    t.start(DecisionTrace.site(DecisionTrace.NO_QUOTA, false, false));
    t.list("11/1", "12/1", "13/1", "14/1", "15/1", "16/1");
    for (int i = 0; i < 60; i++) {
      int before = t.addToCounter("to 11 for");
      t.arrive(i, REPLAYABLE, 1);
      boolean stuck = t.addToCounter("to 11 for") > before;
      t.pass(stuck ? 25_000 : 1_000);
      t.ended(i, 0, stuck ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED);
      if (stuck) t.ended(i, 1, AttemptOutcome.SUCCEEDED);
      t.pass(24_000);
    }
    assertEquals(3, t.addToCounter("to 11 for"));
  }

  /**
   * More out than passes within the target's part is denied at once, sooner for clients with little
   * time left.
   */
  @Test
  void pressure() throws IOException {
    t.start(DecisionTrace.site(DecisionTrace.NO_QUOTA, false, false));
    t.list("11/1", "12/1");
    t.pass(1_500);
    for (int i = 1; i <= 8; i++) {
      t.arrive(i, REPLAYABLE, 1);
    }
    t.now += 4_000;
    t.sendGossip(); // it runs, without its round: no absence
    t.now += 4_000;
    t.ended(1, 0, AttemptOutcome.SUCCEEDED);
    t.left = 2_600;
    t.arrive(9, REPLAYABLE, 1);
    t.left = 30_000;
    t.arrive(10, REPLAYABLE, 1);
    DecisionTrace many = new DecisionTrace(
        DecisionTrace.site(7, 200, DecisionTrace.NO_QUOTA, false, false));
    many.list("11/1", "12/1");
    many.pass(1_500);
    for (int i = 1; i <= 8; i++) many.arrive(i, REPLAYABLE, 1);
    assertEquals(1, many.addToCounter("-> dispatch")); // 200 nodes share what two app srvs may hold
    t.matches("pressure");
  }

  /**
   * Stopped for 8 s and continued: reqs that lay unread longer than their clients wait are denied
   * with no call and no dispatch, one that came late in it is served in what is left, a count's old
   * answer sends nothing out for a client that has gone, and the own absence counts neither against
   * app srvs nor against the counter.
   */
  @Test
  void away() throws IOException {
    t.start(DecisionTrace.site(DecisionTrace.FIRM, false, false));
    t.list("11/1", "12/1");
    t.pass(1_500);
    t.arrive(1, REPLAYABLE, 1);
    t.counted(1);
    t.arrive(2, REPLAYABLE, 1);
    t.arrive(3, REPLAYABLE, 1);
    t.now += 80_000;
    t.age = 60_000;
    t.arrive(4, REPLAYABLE, 1);
    t.age = 10_000;
    t.arrive(5, REPLAYABLE, 1);
    t.counted(2);
    t.counted(AttemptOutcome.TIMED_OUT);
    t.counted(3);
    t.ended(1, 0, AttemptOutcome.SUCCEEDED);
    t.ended(5, 0, AttemptOutcome.SUCCEEDED);
    t.age = 0;
    for (int i = 6; i < 10; i++) t.arrive(i, ONCE, 1);
    t.matches("away");
  }

  /** Dispatches stuck on one sick app srv do not use up what may be out beside it. */
  @Test
  void sickSrv() {
    t.start(DecisionTrace.site(DecisionTrace.NO_QUOTA, false, false));
    t.list("11/1", "12/1");
    int stuck = 0;
    for (int i = 0; i < 400; i++) {
      t.arrive(i, REPLAYABLE, 1);
      t.pass(100);
      if (t.addToCounter("dispatch req " + i + " to 12") > 0) {
        t.ended(i, 0, AttemptOutcome.SUCCEEDED);
      } else if (t.addToCounter("dispatch req " + i + " to 11") > 0) {
        stuck++;
      }
    }
    assertTrue(stuck < 12, "stuck " + stuck);
    assertTrue(t.addToCounter("to 12 for") > 330, "passed " + t.addToCounter("to 12 for"));
  }

  /** Where discovery must be asked, a failed call is made again. */
  @Test
  void following() throws IOException {
    t.start(DecisionTrace.site(DecisionTrace.FIRM, false, true));
    t.list("11/1");
    t.say("the call failed");
    t.sendGossip(
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.FAILED, List.of()));
    t.pass(3_000);
    t.matches("following");
  }

  /** A begun stream has no client timeout; a client that left is owed nothing. */
  @Test
  void streamsAndLeavers() throws IOException {
    t.list("11/1");
    t.arrive(1, REPLAYABLE, 1);
    t.counted(1);
    t.sendGossip(new GatewayEvent.ResponseStarted(1, 11, 0, 10));
    t.pass(40_000);
    t.ended(1, 0, AttemptOutcome.SUCCEEDED);
    t.arrive(2, REPLAYABLE, 1);
    t.sendGossip(new GatewayEvent.ClientDisconnected(2));
    t.counted(1);
    t.matches("streams-and-leavers");
  }
}
