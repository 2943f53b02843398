/* A graceful shutdown cuts no request, and a silent connection ends with a true
 * verdict.
 *
 * Callers learn a host's address, keep it for LIFETIME ticks, connect and send
 * one request each. Other hosts learn LAG ticks late that a host drains, and
 * name it until then. The host is told to shut down at any time. The connection
 * to the endpoint may go silent for good, before or after the endpoint ran the
 * request.
 *
 * Bounds: 2 callers with one request each, LIFETIME and LAG ticks, 1 silent connection.
 *
 * Rules, and the mutant that removes each:
 *  unnamed   a host that drains is not named in address answers    STILL_NAMED
 *  lifetime  it accepts for the lifetime of an address answer      CLOSE_AT_ONCE
 *  peers     and for as long as other hosts may still name it      PEERS_FORGOTTEN
 *  finish    it ends only after its last request                   EXIT_EARLY
 *  progress  a request without progress ends                       NO_PROGRESS_LIMIT
 *  verdict   a request whose bytes may have left is not "not run"  BLIND_NOT_RUN
 */
#define LIFETIME 2
#define LAG 1
#define CALLERS 2
#define HOLD(p, e) p = (e); assert(p)

bool none_cut = 1, answer_served = 1, verdict_true = 1;

mtype = { UP, DRAINING, GONE };
mtype host = UP;
byte drained;               /* ticks since the drain began */
byte held;                  /* requests on the host */
bool silenced;

#if defined(MUTANT_CLOSE_AT_ONCE)
#define OPEN_FOR 0
#elif defined(MUTANT_PEERS_FORGOTTEN)
#define OPEN_FOR LIFETIME
#else
#define OPEN_FOR (LAG + LIFETIME)
#endif
#define ACCEPTS (host == UP || (host == DRAINING && drained < OPEN_FOR))
#ifdef MUTANT_STILL_NAMED
#define NAMED (host != GONE)
#else
#define NAMED (host == UP || (host == DRAINING && drained <= LAG))
#endif
#ifdef MUTANT_EXIT_EARLY
#define ENDED true
#else
#define ENDED (held == 0)
#endif

#ifdef MUTANT_BLIND_NOT_RUN
#define NOT_RUN true
#else
#define NOT_RUN (!sent)
#endif

active [CALLERS] proctype Caller() {
  byte age; bool ran, sent, silent;
  /* Learns the address, or another host's; the answer ages with the clock. */
  if
  :: atomic { NAMED -> age = drained }
  :: atomic { !NAMED -> goto done }
  fi;
  /* Connects within the answer's lifetime, or asks anew. */
  if
  :: atomic { drained - age < LIFETIME ->
       HOLD(answer_served, ACCEPTS); held++ }
  :: atomic { drained - age >= LIFETIME -> goto done }
  fi;
  /* Its connection goes silent before or after its bytes may have left. */
  if
  :: atomic { !silenced -> silenced = 1; silent = 1 }
  :: atomic { sent = 1; HOLD(none_cut, host != GONE) };
     if
     :: atomic { !silenced -> silenced = 1; silent = 1; if :: ran = 1 :: skip fi }
     :: ran = 1
     fi
  fi;
  if
  :: atomic { !silent -> HOLD(none_cut, host != GONE); held-- }
#ifndef MUTANT_NO_PROGRESS_LIMIT
  :: atomic { silent -> HOLD(verdict_true, !(NOT_RUN && ran)); held-- }
#endif
  fi;
done:
  skip
}

active proctype Host() {
  host = DRAINING;
  atomic { drained >= OPEN_FOR && ENDED -> host = GONE }
}

/* Time passes only while the host drains, as nothing ages before. */
active proctype Clock() {
end:
  do
  :: atomic { host == DRAINING && drained < LAG + LIFETIME + 1 -> drained++ }
  od
}

#ifdef LIVE
ltl shutdown_ends { <> (host == GONE) }
#endif
