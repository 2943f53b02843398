/* A graceful shutdown aborts no request, and a request whose endpoint connection
 * goes silent ends with a true verdict.
 *
 * Callers learn the address of the host, use it for LIFETIME ticks, connect and
 * send one request each. Other hosts learn with a delay of LAG ticks that the
 * host drains, and offer its address until then. The host is told to shut down
 * at any time. The connection to the endpoint may go silent permanently, before
 * or after the endpoint ran the request.
 *
 * Bounds: 2 callers with one request each, LIFETIME and LAG ticks, 1 silent connection.
 *
 * Rules, and the mutant that removes each:
 *  unnamed   address responses do not offer a draining host        STILL_NAMED
 *  lifetime  the host accepts for the lifetime of an address
 *            response,                                             CLOSE_AT_ONCE
 *  peers     plus the time in which other hosts may still offer its
 *            address                                               PEERS_FORGOTTEN
 *  finish    it stops only after its last request has ended        EXIT_EARLY
 *  progress  a request without progress is aborted                 NO_PROGRESS_LIMIT
 *  verdict   no "not run" once request bytes may have been sent    BLIND_NOT_RUN
 */
#define LIFETIME 2
#define LAG 1
#define CALLERS 2
#define HOLD(p, e) p = (e); assert(p)

bool none_cut = 1, answer_served = 1, verdict_true = 1;

mtype = { UP, DRAINING, STOPPED };
mtype host_state = UP;
byte drain_age;             /* ticks since the drain began */
byte in_flight;             /* requests on the host */
bool silenced;              /* the one connection that may go silent has done so */

#if defined(MUTANT_CLOSE_AT_ONCE)
#define ACCEPT_PERIOD 0
#elif defined(MUTANT_PEERS_FORGOTTEN)
#define ACCEPT_PERIOD LIFETIME
#else
#define ACCEPT_PERIOD (LAG + LIFETIME)
#endif
#define ACCEPTS (host_state == UP || (host_state == DRAINING && drain_age < ACCEPT_PERIOD))
#ifdef MUTANT_STILL_NAMED
#define NAMED (host_state != STOPPED)
#else
#define NAMED (host_state == UP || (host_state == DRAINING && drain_age <= LAG))
#endif
#ifdef MUTANT_EXIT_EARLY
#define REQUESTS_ENDED true
#else
#define REQUESTS_ENDED (in_flight == 0)
#endif

#ifdef MUTANT_BLIND_NOT_RUN
#define NOT_RUN true
#else
#define NOT_RUN (!bytes_sent)
#endif

active [CALLERS] proctype Caller() {
  byte learned_at; bool ran, bytes_sent, silent;
  /* Learns the address of this host, or that of another one and ends. */
  if
  :: atomic { NAMED -> learned_at = drain_age }
  :: atomic { !NAMED -> goto done }
  fi;
  /* Connects within the lifetime of the response. A caller whose response has expired
   * would ask again, and ends here. */
  if
  :: atomic { drain_age - learned_at < LIFETIME ->
       HOLD(answer_served, ACCEPTS); in_flight++ }
  :: atomic { drain_age - learned_at >= LIFETIME -> goto done }
  fi;
  /* The connection to the endpoint may go silent before or after bytes may have
   * been sent. */
  if
  :: atomic { !silenced -> silenced = 1; silent = 1 }
  :: atomic { bytes_sent = 1; HOLD(none_cut, host_state != STOPPED) };
     if
     :: atomic { !silenced -> silenced = 1; silent = 1; if :: ran = 1 :: skip fi }
     :: ran = 1
     fi
  fi;
  if
  :: atomic { !silent -> HOLD(none_cut, host_state != STOPPED); in_flight-- }
#ifndef MUTANT_NO_PROGRESS_LIMIT
  :: atomic { silent -> HOLD(verdict_true, !(NOT_RUN && ran)); in_flight-- }
#endif
  fi;
done:
  skip
}

active proctype Host() {
  host_state = DRAINING;
  atomic { drain_age >= ACCEPT_PERIOD && REQUESTS_ENDED -> host_state = STOPPED }
}

/* Time passes only while the host drains, as nothing ages before that. */
active proctype Clock() {
end:
  do
  :: atomic { host_state == DRAINING && drain_age < LAG + LIFETIME + 1 -> drain_age++ }
  od
}

#ifdef LIVE
ltl shutdown_ends { <> (host_state == STOPPED) }
#endif
