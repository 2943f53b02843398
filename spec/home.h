/* What the homes of once.pml answer, and what a verdict tells its caller. */

#define AGE(h) (now - from[h])
#define KNOWN(h) (rec[h] != 0 && now - born[rec[h]] < WINDOW)
#define PRESENTED(t) (st[t] == WAITING || st[t] == DONE || st[t] == UNKNOWN)
#ifdef MUTANT_NO_LEASE
#define FRESH(h, d) true
#else
#define FRESH(h, d) (now - confirmed[h] < (d))
#endif
#ifdef MUTANT_NO_SETTLE
#define SETTLED(h) true
#else
#define SETTLED(h) (AGE(h) >= SETTLE)
#endif
/* A home may issue a ticket to what may be a resend. */
#define RESEND_OK(h) (view[h] == h && SETTLED(h) && FRESH(h, LEASE))

/* A counted resend gets a fresh ticket in place of a withdrawn one. */
#ifdef MUTANT_ANY_RESEND
#define FRESHENS(h) true
#else
#define FRESHENS(h) (KNOWN(h) && st[rec[h]] == WITHDRAWN)
#endif

inline issue(h, got) {
  if :: tickets < TICKETS ->
       tickets++; st[tickets] = ISSUED; host[tickets] = h; born[tickets] = now;
       rec[h] = tickets; got = tickets
     :: else got = 0
  fi
}

inline void(t) {
  if
#ifndef MUTANT_NO_VOID
  :: st[t] == ISSUED || st[t] == WAITING -> st[t] = VOID
#endif
  :: else
  fi
}

/* The verdict reaches the caller if it still waits for this call. */
inline verdict(v, ticket) {
  if :: cur == k && v == NOT_RUN -> HOLD(not_run_true, runs == 0); barrier = k + 1
     :: cur == k && v == RAN -> HOLD(ran_true, runs == 1)
     :: else fi;
  if :: cur == k && ticket != 0 -> held = ticket :: else fi;
  over = 1
}

inline notReached() {
  if :: first -> verdict(NOT_RUN, 0) :: else -> verdict(MAY_HAVE_RUN, 0) fi
}

/* A host's answer; t names a presented ticket, got a fresh one. */
inline issueKeyed(h) {
  got = 0; ans = MAY_HAVE_RUN;
  if
  :: KNOWN(h) && PRESENTED(rec[h]) -> t = rec[h]
  :: else ->
     if
     :: first || (!counted && RESEND_OK(h)) || (counted && FRESHENS(h)) ->
        if :: KNOWN(h) -> void(rec[h]) :: else fi; ans = NOT_RUN; issue(h, got)
     :: else
     fi
  fi
}
