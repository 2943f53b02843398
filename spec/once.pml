/* A request with an idempotency key runs at most once, and verdicts are true.
 *
 * One caller sends calls for one key, each possibly before the previous one has
 * ended. A call without a ticket requests one from the home of the key, as the
 * view of the entry host has it; a home is the executor of the tickets that it
 * issues. A call with a ticket is forwarded to the executor. Messages take any
 * time or are lost; hosts persist nothing across restarts; a paused host takes no
 * step. Checking the ticket and writing the first byte are one step. If an
 * endpoint refuses a dispatch, the ticket stays waiting. Times are ticks of one
 * clock.
 *
 * Assumptions: a read of the host list is at most LAG old. A caller that counts
 * its attempts (sends an attempt number with each call) marks a call as first until
 * it has presented a ticket of this key, and may get a ticket from any host; a
 * caller that does not count never marks a call as first, and resends within WINDOW
 * of its newest ticket.
 *
 * Bounds: 2 hosts, 3 calls, 2 tickets; 1 tick from any time after a change of
 * the key's home and a caller that does not count; or (KILLS) 1 restart, no
 * tick, and either kind of caller, which may hold a ticket at the start.
 *
 * Rules, and the mutant that removes each:
 *  executor     only the named executor dispatches             ANY_EXECUTOR
 *  incarnation  a restarted executor refuses earlier tickets   OLD_INCARNATION
 *  begin-once   a later call with the ticket awaits the first one's result
 *                                                              NO_JOIN
 *  void         the ticket is voided before a not-run verdict  NO_VOID
 *  settle       a new home answers may-have-run to a possible resend until
 *               no earlier ticket can still be resent          NO_SETTLE
 *  lease        a home that cannot confirm its view stops      NO_LEASE
 *  lag          (assumption) a list read is at most LAG old    NO_LAG
 *  counted      a counted resend without a ticket gets a fresh one only in
 *               place of a withdrawn one                       ANY_RESEND
 *               and (assumption) only first calls are marked as first
 *                                                              FALSE_FIRST
 */
#define CALLS 3
#define TICKETS 2
#ifdef KILLS
#define RESTARTS 1
#define SPAN 0             /* ticks */
#else
#define RESTARTS 0
#define SPAN 1             /* ticks */
#endif
#define LAG 1
#define LEASE 1
#define WINDOW 2
#define TICKET_LIFETIME 2
#define SETTLE (LAG + LEASE + WINDOW)
#define NO_VIEW 9
#define HOLD(p, e) p = (e); assert(p)

bool at_most_once = 1, not_run_true = 1, not_run_final = 1, ran_true = 1;

/* States of a ticket (GONE: the executor has restarted); then verdicts. */
mtype = { ISSUED, WAITING, DONE, UNKNOWN, VOID, WITHDRAWN, GONE,
          MAY_HAVE_RUN, NOT_RUN, RAN };

byte now = SETTLE;              /* host 0 has long been the home */
byte list, changed_at = SETTLE; /* in revision r host r is the home; time of the change */
byte view[2], view_since[2], confirmed_at[2] = SETTLE, recorded[2], restarts;
mtype state[TICKETS+1]; byte executor[TICKETS+1], issued_at[TICKETS+1];
byte tickets, runs, current_call, calls_started, end_time, first_allowed, held_ticket;
/* Calls before first_allowed must not run, as the caller got a not-run verdict.
 * recorded[h] is the newest ticket that host h issued since its last restart; 0 for
 * none. */
bool presented, counts_attempts;

#include "home.h"

proctype Call(byte k) {
  byte t, h, asked_at, new_ticket; bool claims_first, ended, dispatching; mtype answer;
  /* Submits the call. Without a ticket it goes to the home in the view of the
   * entry host or to the entry host itself, so to any host. */
  atomic { current_call == k ->
    calls_started = k + 1;
    if :: held_ticket != 0 -> t = held_ticket :: t = 0 fi;  /* the caller may have lost its ticket */
#ifdef MUTANT_FALSE_FIRST
    claims_first = counts_attempts;
#else
    claims_first = counts_attempts && !presented;
#endif
    asked_at = now;
    if
    :: presented && now - issued_at[held_ticket] >= WINDOW -> ended = 1
    :: !(presented && now - issued_at[held_ticket] >= WINDOW) && t != 0 -> presented = 1
    :: !(presented && now - issued_at[held_ticket] >= WINDOW) && t == 0 ->
       if :: h = 0 :: h = 1 :: not_reached() fi
    fi
  };
  if
  :: ended || t != 0
  :: atomic { !ended && t == 0 -> issue_keyed(h); h = 0 };
     atomic {
       if :: now - asked_at >= 1 -> not_reached(); t = 0  /* too late to be handed out */
          :: now == asked_at && t == 0 -> verdict(answer, new_ticket)
          :: now == asked_at && t != 0 -> claims_first = 0
       fi; new_ticket = 0; answer = 0 }
  fi;
  /* With a ticket: the call reaches the executor, or is lost before or after. */
  if
  :: ended
  :: atomic { !ended -> asked_at = 0;
       if
       :: state[t] == GONE -> not_reached()
#ifdef MUTANT_ANY_EXECUTOR
       :: true -> dispatching = 1
#endif
       :: state[t] == ISSUED && now < issued_at[t] + TICKET_LIFETIME -> state[t] = WAITING; dispatching = 1
       :: state[t] == ISSUED && now >= issued_at[t] + TICKET_LIFETIME -> state[t] = VOID
#ifdef MUTANT_NO_JOIN
       :: state[t] != ISSUED && state[t] != GONE -> dispatching = 1
#endif
       :: state[t] != ISSUED && state[t] != GONE -> skip
       :: true -> not_reached()                            /* not sent */
       :: true -> verdict(MAY_HAVE_RUN, 0)                 /* peer lost */
       fi }
  fi;
  do
  :: ended -> break
  :: atomic { !ended && dispatching && (state[t] == WAITING
#if defined(MUTANT_ANY_EXECUTOR) || defined(MUTANT_NO_JOIN)
       || true
#endif
       ) && now < issued_at[t] + TICKET_LIFETIME -> runs++;
       HOLD(at_most_once, runs <= 1);
       HOLD(not_run_final, k >= first_allowed);
       if :: state[t] = DONE :: state[t] = UNKNOWN fi }
  :: atomic { !ended && dispatching && state[t] == WAITING -> void_ticket(t);
       verdict(NOT_RUN, 0) }
  :: atomic { !ended && dispatching && state[t] == WAITING && current_call != k -> state[t] = WITHDRAWN; ended = 1 }
  :: atomic { !ended && state[t] == DONE -> verdict(RAN, 0) }
  :: atomic { !ended && state[t] == VOID ->
       if :: recorded[executor[t]] == t && (counts_attempts || RESEND_OK(executor[t])) -> issue(executor[t], new_ticket)
          :: else fi;
       verdict(NOT_RUN, new_ticket); new_ticket = 0 }
  :: atomic { !ended && (state[t] == UNKNOWN || state[t] == WITHDRAWN || state[t] == GONE) -> verdict(MAY_HAVE_RUN, 0) }
  :: atomic { !ended && !dispatching -> verdict(MAY_HAVE_RUN, 0) }   /* peer lost */
  od;
  atomic { t = 0; asked_at = 0; dispatching = 0; claims_first = 0; ended = 0 }
}

/* The caller moves on to its next call at any time. */
proctype Caller() {
end:
  do
  :: atomic { current_call + 1 < CALLS && calls_started > current_call -> current_call++ }
  od
}

proctype Clock() {
end:
  do
  :: now < end_time -> now++
  od
}

/* Reads the host list and restarts. */
proctype Host(byte h) {
  byte r;
end:
  do
  :: atomic { confirmed_at[h] != now || view[h] == NO_VIEW || view[h] < list ->
       if :: r = list
#ifdef MUTANT_NO_LAG
          :: r = 0
#else
          :: list == 1 && now - changed_at <= LAG -> r = 0
#endif
       fi;
       if :: view[h] == NO_VIEW || r > view[h] -> view[h] = r; view_since[h] = now; confirmed_at[h] = now
          :: view[h] != NO_VIEW && r == view[h] -> confirmed_at[h] = now
          :: else fi;
       r = 0 }
  :: atomic { restarts < RESTARTS -> restarts++; view[h] = NO_VIEW; recorded[h] = 0;
       for (r : 1 .. TICKETS) {
         if :: r <= tickets && executor[r] == h ->
#ifdef MUTANT_OLD_INCARNATION
              state[r] = ISSUED
#else
              state[r] = GONE
#endif
            :: else fi
       }
       r = 0 }
  od
}

/* Starts at each time after the home has moved to host 1; host 1 learns of it at
 * once and host 0 as late as LAG permits, which is the worst case for the rules. */
init {
  atomic {
    end_time = SETTLE + SPAN;
#ifdef KILLS
    if :: counts_attempts = 1 :: skip fi;
    if :: issue(0, held_ticket) :: skip fi;
#else
    list = 1; view[1] = 1; view_since[1] = changed_at;
    do :: now <= SETTLE + SETTLE -> now++ :: break od;
    confirmed_at[1] = now; end_time = now + SPAN;
    if :: now - changed_at <= LAG -> confirmed_at[0] = now :: else -> confirmed_at[0] = changed_at + LAG fi;
#endif
    run Caller(); run Clock(); run Host(0); run Host(1);
    run Call(0); run Call(1); run Call(2)
  }
}
