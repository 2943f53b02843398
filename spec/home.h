/* The answers of the homes in once.pml, and the verdicts that callers get. */

#define VIEW_AGE(h) (now - view_since[h])
#define HAS_TICKET(h) (recorded[h] != 0 && now - issued_at[recorded[h]] < WINDOW)
#define PRESENTED(t) (state[t] == WAITING || state[t] == DONE || state[t] == UNKNOWN)
#ifdef MUTANT_NO_LEASE
#define CONFIRMED_WITHIN(h, d) true
#else
#define CONFIRMED_WITHIN(h, d) (now - confirmed_at[h] < (d))
#endif
#ifdef MUTANT_NO_SETTLE
#define SETTLED(h) true
#else
#define SETTLED(h) (VIEW_AGE(h) >= SETTLE)
#endif
/* A home may issue a ticket for a call that may be a resend. */
#define RESEND_OK(h) (view[h] == h && SETTLED(h) && CONFIRMED_WITHIN(h, LEASE))

/* A resend by a caller that counts its attempts gets a fresh ticket only in place
 * of a withdrawn one. */
#ifdef MUTANT_ANY_RESEND
#define FRESH_TICKET_OK(h) true
#else
#define FRESH_TICKET_OK(h) (HAS_TICKET(h) && state[recorded[h]] == WITHDRAWN)
#endif

inline issue(h, new_ticket) {
  if :: tickets < TICKETS ->
       tickets++; state[tickets] = ISSUED; executor[tickets] = h; issued_at[tickets] = now;
       recorded[h] = tickets; new_ticket = tickets
     :: else new_ticket = 0
  fi
}

inline void_ticket(t) {
  if
#ifndef MUTANT_NO_VOID
  :: state[t] == ISSUED || state[t] == WAITING -> state[t] = VOID
#endif
  :: else
  fi
}

/* The verdict reaches the caller if the caller still waits for this call. */
inline verdict(v, ticket) {
  if :: current_call == k && v == NOT_RUN -> HOLD(not_run_true, runs == 0); first_allowed = k + 1
     :: current_call == k && v == RAN -> HOLD(ran_true, runs == 1)
     :: else fi;
  if :: current_call == k && ticket != 0 -> held_ticket = ticket :: else fi;
  ended = 1
}

/* The call ends before an executor has taken it. Only a call marked as first cannot
 * have run before, so at this point only such a call gets a not-run verdict. */
inline not_reached() {
  if :: claims_first -> verdict(NOT_RUN, 0) :: else -> verdict(MAY_HAVE_RUN, 0) fi
}

/* The answer of host h: sets t to a presented ticket, or new_ticket to a fresh
 * one. */
inline issue_keyed(h) {
  new_ticket = 0; answer = MAY_HAVE_RUN;
  if
  :: HAS_TICKET(h) && PRESENTED(recorded[h]) -> t = recorded[h]
  :: else ->
     if
     :: claims_first || (!counts_attempts && RESEND_OK(h)) || (counts_attempts && FRESH_TICKET_OK(h)) ->
        if :: HAS_TICKET(h) -> void_ticket(recorded[h]) :: else fi; answer = NOT_RUN; issue(h, new_ticket)
     :: else
     fi
  fi
}
