/* Claims on one idempotency key (docs/design.md section 3.2, LibLedger).
 *
 * Three replicas store claims for three copies of one request at three
 * gateways. Messages can be lost, duplicated, delayed and reordered: a sent
 * message stays deliverable forever. A frozen gateway is one that takes no
 * step. Only one replica can lose its memory, after which it abstains on the
 * key; with three such replicas the search has 4.6 million states, also without
 * an error.
 *
 * Checked properties: at most one copy is dispatched; the outcome `not-run` is
 * returned only while no copy has been dispatched; a copy with a returned
 * outcome is never dispatched afterwards.
 *
// check: expect=pass
// check: -DNO_HORIZON expect=fail
// check: -DGRANT_AFTER_REFUSAL expect=fail
// check: -DNOT_RUN_WITHOUT_MAJORITY expect=fail
 */
#define REPLICAS 3
#define COPIES 3
#define NONE 3

mtype = { Asking, Granted, Dispatched, Finished, Refused };

mtype state[COPIES] = Asking;
bool released[COPIES];       /* a Release message was sent */
byte holder[REPLICAS] = NONE;
bool lost[REPLICAS];         /* restarted after the key was created */
bool finished[REPLICAS];
/* Bit c * REPLICAS + r of `tombstones`: replica r has a tombstone of copy c.
 * The same bit of `accepted`: replica r sent an Accepted message for copy c. */
short tombstones;
short accepted;
byte dispatches;

#define BIT(c, r) (1 << ((c) * REPLICAS + (r)))
#define VOTES(c) \
  (((accepted >> ((c) * REPLICAS)) & 1) + \
   ((accepted >> ((c) * REPLICAS + 1)) & 1) + \
   ((accepted >> ((c) * REPLICAS + 2)) & 1))

#ifdef NO_HORIZON
#define ABSTAINS(r) false
#else
#define ABSTAINS(r) lost[r]
#endif

proctype Replica(byte r) {
  byte c;
  do
  /* Receives a Claim message, possibly a duplicate. */
  :: atomic {
      select(c : 0 .. COPIES - 1);
      if
      :: !finished[r] && !ABSTAINS(r) && !(tombstones & BIT(c, r)) &&
         (holder[r] == NONE || holder[r] == c) ->
          holder[r] = c;
          accepted = accepted | BIT(c, r)
      :: else
      fi;
      c = 0
     }
  /* Receives a Release message, possibly before the Claim message. */
  :: atomic {
      select(c : 0 .. COPIES - 1);
      if
      :: released[c] ->
          tombstones = tombstones | BIT(c, r);
          if
          :: holder[r] == c && !finished[r] -> holder[r] = NONE
          :: else
          fi
      :: else
      fi;
      c = 0
     }
  /* Receives a Finish message. */
  :: atomic {
      select(c : 0 .. COPIES - 1);
      if
      :: state[c] == Finished -> holder[r] = c; finished[r] = true
      :: else
      fi;
      c = 0
     }
  /* The replica loses its memory. */
  :: atomic {
      r == 0 && !lost[r] ->
      lost[r] = true;
      holder[r] = NONE;
      finished[r] = false;
      tombstones = tombstones & ~(BIT(0, r) | BIT(1, r) | BIT(2, r))
     }
  od
}

proctype Gateway(byte c) {
  do
  :: atomic { state[c] == Asking && VOTES(c) >= 2 -> state[c] = Granted }
  /* The claim was lost or timed out. The copy was not dispatched, so the claim
   * is released. */
  :: atomic {
      state[c] == Asking ->
#ifdef NOT_RUN_WITHOUT_MAJORITY
      assert(dispatches == 0);
#endif
      state[c] = Refused;
      released[c] = true
     }
  :: atomic {
      state[c] == Granted ->
      state[c] = Dispatched;
      dispatches++;
      assert(dispatches <= 1)
     }
  /* The deadline passed before the dispatch; the caller receives `not-run`. */
  :: atomic {
      state[c] == Granted ->
      assert(dispatches == 0);
      state[c] = Refused;
      released[c] = true
     }
  :: atomic { state[c] == Dispatched -> state[c] = Finished }
#ifdef GRANT_AFTER_REFUSAL
  :: atomic { state[c] == Refused && VOTES(c) >= 2 -> state[c] = Granted }
#endif
  od
}

init {
  atomic {
    run Replica(0); run Replica(1); run Replica(2);
    run Gateway(0); run Gateway(1); run Gateway(2)
  }
}
