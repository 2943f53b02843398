/* A waiting request ends, and the grants of several owners dispatch it once.
 *
 * An entry host registers one request with two owners. Messages are queued,
 * late or lost; owners grant, refuse for want of room, or fall silent for good.
 *
 * Bounds: 2 owners, 1 request, 2 lost messages, 2 messages under way to and
 * from each owner. A message to a full queue is lost.
 *
 * Rules, and the mutant that removes each:
 *  first-wins  only the first grant dispatches                     SECOND_GRANT
 *  too-late    a grant after the refusal is handed back            LATE_GRANT
 *  all-shed    refused for room only after each owner shed it      ONE_SHED
 *  deadline    the wait ends at the deadline whatever owners do    NO_DEADLINE
 */
#define HOLD(p, e) p = (e); assert(p)

bool once_dispatched = 1, refusal_final = 1, shed_by_all = 1;

mtype = { REGISTER, WITHDRAW, BACK, GRANT, SHED, WAIT, RUN, OVER };
chan to[2] = [2] of { mtype };
chan from[2] = [2] of { mtype };
mtype state = WAIT;
byte dispatched, lost;
bool refused, shed[2], begun;

inline send(c, m) {
  if
  :: lost < 2 -> lost++
  :: nfull(c) -> c!m
  :: full(c) -> skip
  fi
}

#ifdef MUTANT_SECOND_GRANT
#define USES (state == WAIT || state == RUN)
#elif defined(MUTANT_LATE_GRANT)
#define USES (state != RUN && dispatched == 0)
#else
#define USES (state == WAIT)
#endif
#ifdef MUTANT_ONE_SHED
#define ROOM_REFUSED (shed[0] || shed[1])
#else
#define ROOM_REFUSED (shed[0] && shed[1])
#endif

active proctype Entry() {
  byte i;
  atomic { send(to[0], REGISTER); send(to[1], REGISTER); begun = 1 };
end:
  do
  :: atomic { from[0]?[GRANT] || from[1]?[GRANT] ->
       if :: from[0]?[GRANT] -> from[0]?GRANT; i = 0 :: from[1]?[GRANT] -> from[1]?GRANT; i = 1 fi;
       if
       :: USES -> dispatched++; state = RUN;
          HOLD(once_dispatched, dispatched <= 1); HOLD(refusal_final, !refused);
          send(to[1-i], WITHDRAW)
       :: else -> send(to[i], BACK)
       fi; i = 0 }
  :: atomic { from[0]?[SHED] -> from[0]?SHED; shed[0] = 1 }
  :: atomic { from[1]?[SHED] -> from[1]?SHED; shed[1] = 1 }
  :: atomic { state == WAIT && ROOM_REFUSED ->
       HOLD(shed_by_all, shed[0] && shed[1]); state = OVER; refused = 1 }
#ifndef MUTANT_NO_DEADLINE
  :: atomic { state == WAIT -> state = OVER; refused = 1; send(to[0], WITHDRAW); send(to[1], WITHDRAW) }
#endif
  :: atomic { state == RUN -> state = OVER }
  od
}

active [2] proctype Owner() {
  byte i; bool waiting;
  atomic { begun -> i = _pid - 1 };
end:
  do
  :: atomic { to[i]?[REGISTER] -> to[i]?REGISTER; waiting = 1 }
  :: atomic { to[i]?[WITHDRAW] -> to[i]?WITHDRAW; waiting = 0 }
  :: atomic { to[i]?[BACK] -> to[i]?BACK }
  :: atomic { waiting -> waiting = 0; if :: send(from[i], GRANT) :: send(from[i], SHED) fi }
  :: waiting -> break      /* silent for good */
  od
}

#ifdef LIVE
ltl request_ends { <> (state == OVER) }
#endif
