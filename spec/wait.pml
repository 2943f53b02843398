/* A waiting request ends, and is dispatched at most once although several owners
 * may grant it.
 *
 * An entry host registers one request with two owners. Messages are queued,
 * delayed or lost; owners grant, shed the request for lack of capacity, or stop
 * answering permanently.
 *
 * Bounds: 2 owners, 1 request, 2 lost messages, 2 messages in flight in each
 * direction per owner. A message to a full queue is lost.
 *
 * Rules, and the mutant that removes each:
 *  first-wins  only the first grant dispatches the request         SECOND_GRANT
 *  too-late    a grant that arrives after a refusal is returned    LATE_GRANT
 *  all-shed    refused for lack of capacity only once all owners have shed the
 *              request                                             ONE_SHED
 *  deadline    the wait ends at the deadline, whatever owners do   NO_DEADLINE
 */
#define HOLD(p, e) p = (e); assert(p)

bool once_dispatched = 1, refusal_final = 1, shed_by_all = 1;

mtype = { REGISTER, WITHDRAW, RETURN, GRANT, SHED, WAIT, RUN, ENDED };
chan to_owner[2] = [2] of { mtype };
chan to_entry[2] = [2] of { mtype };
mtype state = WAIT;
byte dispatched, lost;
bool refused, shed[2], registered;

inline send(c, m) {
  if
  :: lost < 2 -> lost++
  :: nfull(c) -> c!m
  :: full(c) -> skip
  fi
}

#ifdef MUTANT_SECOND_GRANT
#define USES_GRANT (state == WAIT || state == RUN)
#elif defined(MUTANT_LATE_GRANT)
#define USES_GRANT (state != RUN && dispatched == 0)
#else
#define USES_GRANT (state == WAIT)
#endif
#ifdef MUTANT_ONE_SHED
#define CAPACITY_REFUSED (shed[0] || shed[1])
#else
#define CAPACITY_REFUSED (shed[0] && shed[1])
#endif

active proctype Entry() {
  byte i;
  atomic { send(to_owner[0], REGISTER); send(to_owner[1], REGISTER); registered = 1 };
end:
  do
  :: atomic { to_entry[0]?[GRANT] || to_entry[1]?[GRANT] ->
       if :: to_entry[0]?[GRANT] -> to_entry[0]?GRANT; i = 0 :: to_entry[1]?[GRANT] -> to_entry[1]?GRANT; i = 1 fi;
       if
       :: USES_GRANT -> dispatched++; state = RUN;
          HOLD(once_dispatched, dispatched <= 1); HOLD(refusal_final, !refused);
          send(to_owner[1-i], WITHDRAW)
       :: else -> send(to_owner[i], RETURN)
       fi; i = 0 }
  :: atomic { to_entry[0]?[SHED] -> to_entry[0]?SHED; shed[0] = 1 }
  :: atomic { to_entry[1]?[SHED] -> to_entry[1]?SHED; shed[1] = 1 }
  :: atomic { state == WAIT && CAPACITY_REFUSED ->
       HOLD(shed_by_all, shed[0] && shed[1]); state = ENDED; refused = 1 }
#ifndef MUTANT_NO_DEADLINE
  :: atomic { state == WAIT -> state = ENDED; refused = 1; send(to_owner[0], WITHDRAW); send(to_owner[1], WITHDRAW) }
#endif
  :: atomic { state == RUN -> state = ENDED }
  od
}

active [2] proctype Owner() {
  byte i; bool waiting;
  atomic { registered -> i = _pid - 1 };
end:
  do
  :: atomic { to_owner[i]?[REGISTER] -> to_owner[i]?REGISTER; waiting = 1 }
  :: atomic { to_owner[i]?[WITHDRAW] -> to_owner[i]?WITHDRAW; waiting = 0 }
  :: atomic { to_owner[i]?[RETURN] -> to_owner[i]?RETURN }
  :: atomic { waiting -> waiting = 0; if :: send(to_entry[i], GRANT) :: send(to_entry[i], SHED) fi }
  :: waiting -> break      /* stops answering permanently */
  od
}

#ifdef LIVE
ltl request_ends { <> (state == ENDED) }
#endif
