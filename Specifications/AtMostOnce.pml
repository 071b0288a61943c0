/* Claims on one idempotency key (design section 3.2, LibLedger).
 *
 * Three replicas, three copies of one request at three gateways. Every message
 * may be lost, repeated and delivered at any later time: what was sent once
 * stays deliverable. A gateway that is frozen is one that takes no step.
 * One replica may lose its memory (all three would need 4.6 million states,
 * also without an error); after that it abstains on the key.
 *
 * Checked: at most one dispatch; `not-run` is only said while no copy has been
 * dispatched, and a copy that was answered is never dispatched afterwards.
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
bool released[COPIES];       /* a Release is in the network */
byte holder[REPLICAS] = NONE;
bool lost[REPLICAS];         /* started again after the key was created */
bool finished[REPLICAS];
/* Bit c * REPLICAS + r: tombstone of copy c at replica r, and an Accepted of
 * replica r for copy c in the network. */
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
  /* A Claim arrives, the first time or again. */
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
  /* A Release arrives, perhaps before its Claim. */
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
  /* A Finish arrives. */
  :: atomic {
      select(c : 0 .. COPIES - 1);
      if
      :: state[c] == Finished -> holder[r] = c; finished[r] = true
      :: else
      fi;
      c = 0
     }
  /* Memory is lost. */
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
  /* Lost, or timed out: never dispatched, so the claim is released. */
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
  /* The deadline passed before the dispatch: the caller is told `not-run`. */
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
