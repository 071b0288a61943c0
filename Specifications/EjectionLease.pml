/* Ejection lists across a change of the ejection authority (docs/design.md
 * section 3.3, LibDetection).
 *
 * There are two authorities, two gateways and two instances, of which one may
 * be ejected at a time. Reports and answers can be lost, duplicated and
 * delayed. A frozen authority or gateway takes no step while time advances.
 * After the lease has expired, either authority can acquire it. The previous
 * holder may not be notified; it checks the expiry of its own lease.
 *
 * Checked property: the number of instances that the gateways together treat as
 * ejected never exceeds the number that the floor permits.
 *
// check: expect=pass
// check: -DNO_WAIT expect=fail
// check: -DVALID_FROM_RECEIPT expect=fail
// check: -DFORGET_EARLIER_LISTS expect=fail
// check: -DIGNORE_LEASE_END expect=fail
 */
#define AUTHORITIES 2
#define GATEWAYS 2
#define INSTANCES 2
#define PERMITTED 1
#define TIME_TO_LIVE 2
#define TERM 3 /* time to live and drift margin */
#define LEASE 2
#define END 12

byte now;
byte holder;
byte leaseUntil[AUTHORITIES];
byte ejectsFrom[AUTHORITIES];
/* Bit i: instance i is on the current ejection list of the authority. */
byte ejected[AUTHORITIES];
/* Expiry of the last list of the authority that contained the instance. */
byte inForceUntil[AUTHORITIES * INSTANCES];
/* At most one answer to each gateway is in the network: the ejection list, and
 * the send time of the report that it answers. */
bool answerSent[GATEWAYS];
byte answerList[GATEWAYS];
byte answerTo[GATEWAYS];
/* The ejection list in force at each gateway, and its expiry. */
byte list[GATEWAYS];
byte validUntil[GATEWAYS];
/* Send time of the latest report of each gateway. */
bool reportSent[GATEWAYS];
byte reportAt[GATEWAYS];

#define IN_FORCE(g) (now < validUntil[g] -> list[g] : 0)
#define COUNT(set) (((set) & 1) + ((set) >> 1))
#define NAMED(a, i) (inForceUntil[(a) * INSTANCES + (i)] > now)
#ifdef FORGET_EARLIER_LISTS
#define COUNTED(a) ejected[a]
#else
#define COUNTED(a) \
  (ejected[a] | (NAMED(a, 0) -> 1 : 0) | (NAMED(a, 1) -> 2 : 0))
#endif
#ifdef IGNORE_LEASE_END
#define HOLDS(a) (leaseUntil[a] > 0)
#else
#define HOLDS(a) (now < leaseUntil[a])
#endif

/* Resets expired variables to 0, so that equivalent states are merged in the
 * search. */
inline forget(g) {
  if
  :: validUntil[g] <= now -> validUntil[g] = 0; list[g] = 0
  :: else
  fi;
#ifndef VALID_FROM_RECEIPT
  if
  :: answerSent[g] && answerTo[g] + TIME_TO_LIVE <= now ->
      answerSent[g] = false; answerList[g] = 0; answerTo[g] = 0
  :: else
  fi;
  if
  :: reportSent[g] && reportAt[g] + TIME_TO_LIVE <= now ->
      reportSent[g] = false; reportAt[g] = 0
  :: else
  fi
#endif
}

inline forgetAuthority(a) {
  if
  :: inForceUntil[a * INSTANCES] <= now -> inForceUntil[a * INSTANCES] = 0
  :: else
  fi;
  if
  :: inForceUntil[a * INSTANCES + 1] <= now ->
      inForceUntil[a * INSTANCES + 1] = 0
  :: else
  fi;
  if
  :: ejectsFrom[a] <= now -> ejectsFrom[a] = 0
  :: else
  fi;
#ifndef IGNORE_LEASE_END
  if
  :: leaseUntil[a] <= now ->
      leaseUntil[a] = 0; ejected[a] = 0; ejectsFrom[a] = 0;
      inForceUntil[a * INSTANCES] = 0; inForceUntil[a * INSTANCES + 1] = 0
  :: else
  fi
#endif
}

proctype Clock() {
end:
  do
  :: atomic {
      now < END ->
      now++;
      forget(0); forget(1);
      forgetAuthority(0); forgetAuthority(1)
     }
  :: atomic {
      leaseUntil[holder] <= now && now < END ->
      /* Either authority acquires the lease after it has expired. */
      if
      :: holder = 0
      :: holder = 1
      fi;
      leaseUntil[holder] = now + LEASE;
      ejected[holder] = 0;
#ifdef NO_WAIT
      ejectsFrom[holder] = now
#else
      ejectsFrom[holder] = now + TERM
#endif
     }
  :: atomic {
      now < leaseUntil[holder] && leaseUntil[holder] < now + LEASE ->
      leaseUntil[holder] = now + LEASE
     }
  od
}

proctype Authority(byte a) {
  byte i, g;
end:
  do
  :: atomic {
      HOLDS(a) && now >= ejectsFrom[a] && COUNT(COUNTED(a)) < PERMITTED ->
      if
      :: ejected[a] = 1
      :: ejected[a] = 2
      fi
     }
  :: atomic { ejected[a] != 0 -> ejected[a] = 0 }
  /* Answers the latest report of a gateway with the current list. */
  :: atomic {
      HOLDS(a) ->
      select(g : 0 .. GATEWAYS - 1);
      if
      :: reportSent[g] ->
          answerSent[g] = true;
          answerList[g] = ejected[a];
          answerTo[g] = reportAt[g];
          i = 0;
          do
          :: i < INSTANCES ->
              if
              :: (ejected[a] >> i) & 1 ->
                  inForceUntil[a * INSTANCES + i] = now + TERM
              :: else
              fi;
              i++
          :: else -> break
          od;
          i = 0
      :: else
      fi;
      g = 0
     }
  od
}

proctype Gateway(byte g) {
end:
  do
  :: atomic { !reportSent[g] || reportAt[g] < now ->
      reportSent[g] = true;
      reportAt[g] = now
     }
  :: atomic {
      answerSent[g] ->
      if
#ifdef VALID_FROM_RECEIPT
      :: true ->
          list[g] = answerList[g];
          validUntil[g] = now + TIME_TO_LIVE
#else
      :: answerTo[g] + TIME_TO_LIVE > now ->
          list[g] = answerList[g];
          validUntil[g] = answerTo[g] + TIME_TO_LIVE
      :: else
#endif
      fi;
      assert(COUNT(IN_FORCE(0) | IN_FORCE(1)) <= PERMITTED)
     }
  od
}

init {
  atomic {
    run Clock();
    run Authority(0); run Authority(1);
    run Gateway(0); run Gateway(1)
  }
}
