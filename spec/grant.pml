/* Only one host at a time has usable permits for a share of an endpoint's slots,
 * so that all permits together stay within the slots; no expired permit is used.
 *
 * Three hosts are ranked for an endpoint; each rank has a share of the slots. The
 * search covers each share. Hosts probe each other; an answer is valid for YIELD
 * from when the probe was sent, and a host that hears from a better rank does not
 * use the endpoint for STEPIN. Any probe or answer may be lost, also in one
 * direction only; a delayed one is valid for less time than a prompt one, so an
 * exchange is one step. A paused host takes no step and acts late; hosts persist
 * nothing across restarts. Checking a clock and acting on it are one step. Permits
 * are held by entry hosts, which outlive the owner that granted them. Times are
 * modelled as ages, so that runs are unbounded. YIELD, PERMIT and STEPIN stand for
 * YieldPeriod, MaxPermitLifetime and TakeoverDelay of core/bbtowner.
 *
 * Bounds: 3 hosts; YIELD 1 tick, permits 2. LEAVES: one host leaves, one
 * restart, the first share. LISTS: the host list changes once, which ranks the
 * first host last; hosts learn of it with a delay; no restarts; the first or the
 * second share.
 *
 * Rules, and the mutant that removes each:
 *  step-in    a worse rank waits for YIELD and permits to lapse   SHORT_STEP_IN
 *  answered   a worse rank's share is taken only with its answer  NO_ANSWER
 *  best       only the best rank takes the shares of others       SECOND_TAKES
 *  settled    an answer or leave counts only once the permits from before it
 *             have expired                                        EARLY_YIELD
 *  quiet      a starting process has no right while others may still use its
 *             share: for YIELD + PERMIT                           SHORT_QUIET
 *  expiry     a permit is checked immediately before its use      NO_EXPIRY
 *  fresh      no right without a confirmed view                   NO_FRESH
 *  both       while the old and the new placement both apply, a host needs the
 *             right under both                                    NEWEST_ONLY
 *  late       a host whose view was no longer confirmed when it learns of a new
 *             list has no right for QUIET                         LATE_LIST
 *  steps      (liveness) a rank that hears no better one takes over its share
 *                                                                 NO_STEP_IN
 */
#define YIELD 1
#define PERMIT 2
#ifdef MUTANT_SHORT_STEP_IN
#define STEPIN YIELD
#else
#define STEPIN (YIELD + PERMIT)
#endif
#define FRESH 2
#ifdef MUTANT_SHORT_QUIET
#define QUIET YIELD
#else
#define QUIET STEPIN
#endif
#define HOLD(p, e) p = (e); assert(p)

bool within_slots = 1, none_expired = 1;

#if defined(SHARE_1) || defined(LIVE)
#define SHARE 1
#elif defined(SHARE_0)
#define SHARE 0
#endif
#ifdef SHARE
byte share = SHARE;     /* the share that is searched */
#else
byte share;
#endif
/* Per pair of hosts i and j, indexed with PAIR(i, j):
 *  heard_age   ticks since i heard from j, at most STEPIN
 *  acked_for   ticks in a row with an answer of j, at most PERMIT
 *  acked_view  view in the answer of j in this tick plus 1; 0 without an answer on
 *              which a right depends
 *  leave_age   ticks since i learned that j leaves plus 1; 0 if i does not know it
 */
byte heard_age[9], acked_for[9], acked_view[9], leave_age[9];
bool leaving[3], dead[3];
byte permit_left[3];    /* ticks left of the newest permit plus 1; 0 none, 1 expired */
byte leave_count, restarts;
byte quiet_left[3], view[3], view_age[3], confirm_age[3], list;

#define PAIR(i, j) ((i)*3 + (j))
#define RANK(p, i) (((i) + 2*(p)) % 3)
#define HOST_AT(p, r) (((r) + (p)) % 3)
#define BETTER(p, k, i) (RANK(p, k) < RANK(p, i))
#ifdef MUTANT_EARLY_YIELD
#define ANSWER_COUNTS(c) true
#define LEAVE_COUNTS(i, k) (leave_age[PAIR(i, k)] > 0)
#else
#define ANSWER_COUNTS(c) ((c) >= PERMIT)
#define LEAVE_COUNTS(i, k) (leave_age[PAIR(i, k)] > PERMIT)
#endif
/* A leaving host has no right under any placement, so its answer counts whatever its
 * view; an answer after its restart resets leave_age. */
#define LEFT_AND_ANSWERS(i, k) (LEAVE_COUNTS(i, k) && acked_view[PAIR(i, k)] != 0)
#define SAME_VIEW(i, k) (acked_view[PAIR(i, k)] == view[i] + 1)
#ifdef MUTANT_NO_ANSWER
#define YIELDS(i, k) true
#else
#define YIELDS(i, k) (LEFT_AND_ANSWERS(i, k) || SAME_VIEW(i, k) && ANSWER_COUNTS(acked_for[PAIR(i, k)]))
#endif
#ifdef MUTANT_NO_STEP_IN
#define HEARS_BETTER(p, i, k) BETTER(p, k, i)
#else
#define HEARS_BETTER(p, i, k) (BETTER(p, k, i) && !LEAVE_COUNTS(i, k) && heard_age[PAIR(i, k)] < STEPIN)
#endif
#define HEARS_ANY_BETTER(p, i) (HEARS_BETTER(p, i, 0) || HEARS_BETTER(p, i, 1) || HEARS_BETTER(p, i, 2))
#define BETTER_STAYS(p, i, k) (BETTER(p, k, i) && !LEFT_AND_ANSWERS(i, k))
#ifdef MUTANT_SECOND_TAKES
#define BEST(p, i) true
#else
#define BEST(p, i) !(BETTER_STAYS(p, i, 0) || BETTER_STAYS(p, i, 1) || BETTER_STAYS(p, i, 2))
#endif
#define RIGHT_UNDER(p, i) (!HEARS_ANY_BETTER(p, i) && \
                           (RANK(p, i) == share || BEST(p, i) && YIELDS(i, HOST_AT(p, share))))
#ifdef MUTANT_NEWEST_ONLY
#define RIGHT_UNDER_ALL(i) (view[i] == 0 && RIGHT_UNDER(0, i) || view[i] == 1 && RIGHT_UNDER(1, i))
#else
#define RIGHT_UNDER_ALL(i) ((view[i] == 1 && view_age[i] >= STEPIN || RIGHT_UNDER(0, i)) && \
                            (view[i] == 0 || view_age[i] < YIELD || RIGHT_UNDER(1, i)))
#endif
#ifdef MUTANT_NO_FRESH
#define CONFIRMED(i) true
#else
#define CONFIRMED(i) (confirm_age[i] < FRESH)
#endif
#define RIGHT(i) (!dead[i] && !leaving[i] && quiet_left[i] == 0 && CONFIRMED(i) && RIGHT_UNDER_ALL(i))
#ifdef MUTANT_NO_EXPIRY
#define VALID(i) (permit_left[i] > 0)
#else
#define VALID(i) (permit_left[i] > 1)
#endif
#define OTHERS_HOLD_PERMIT(i) (permit_left[((i)+1) % 3] > 1 || permit_left[((i)+2) % 3] > 1)

/* Restarts are bounded only with LEAVES. */
#ifdef LEAVES
#define COUNT_RESTARTS 1
#else
#define COUNT_RESTARTS 0
#endif

/* TRACKS_HEARD and TRACKS_ANSWER select the pairs whose state a right depends on;
 * the state of other pairs is not recorded, which keeps the search small. */
#ifdef LISTS
#define TRACKS_HEARD(j, i) ((i) == HOST_AT(0, share) && BETTER(0, j, i) || \
                            (i) == HOST_AT(1, share) && BETTER(1, j, i))
#define TRACKS_ANSWER(i, j) ((i) == HOST_AT(0, 0) && (j) == HOST_AT(0, share) || \
                             (i) == HOST_AT(1, 0) && (j) == HOST_AT(1, share))
#else
#define TRACKS_HEARD(j, i) ((j) < (i))
#ifdef LEAVES
#define TRACKS_ANSWER(i, j) ((j) == share || TRACKS_HEARD(j, i))
#else
#define TRACKS_ANSWER(i, j) ((j) == share)
#endif
#endif

#include "ages.h"

/* Host i probes host j. */
proctype Prober(byte i, j) {
end:
  do
  :: atomic { !dead[i] && !dead[j] && acked_view[PAIR(i, j)] == 0 ->
       receive(j, i);
       /* The answer arrives or is lost. */
       if :: receive(i, j); acked_view[PAIR(i, j)] = TRACKS_ANSWER(i, j) * (view[j] + 1) :: skip fi }
  od
}

proctype Host(byte i) {
end:
  do
  :: atomic { RIGHT(i) && permit_left[i] <= PERMIT ->
       permit_left[i] = PERMIT + 1; HOLD(within_slots, !OTHERS_HOLD_PERMIT(i)) }
  /* Uses a permit, which changes no state. */
  :: atomic { VALID(i) -> HOLD(none_expired, permit_left[i] > 1); permit_left[i] = permit_left[i] }
#ifdef LEAVES
  :: atomic { leave_count < 1 && !leaving[i] -> leaving[i] = 1; leave_count++ }
#endif
#ifdef LISTS
  :: atomic { confirm_age[i] > 0 || view[i] != list ->
       if :: view[i] != list ->
             view[i] = list; view_age[i] = 0;
#ifndef MUTANT_LATE_LIST
             if :: confirm_age[i] >= FRESH -> quiet_left[i] = QUIET :: else fi
#endif
          :: else fi;
       confirm_age[i] = 0 }
#elif !defined(LIVE)
  :: atomic { restarts < 1 -> restarts = restarts + COUNT_RESTARTS;
       if :: i > 0 -> heard_age[PAIR(i, 0)] = 0 :: else fi;
       if :: i > 1 -> heard_age[PAIR(i, 1)] = 0 :: else fi;
       acked_view[PAIR(i, 0)] = 0; acked_view[PAIR(i, 1)] = 0; acked_view[PAIR(i, 2)] = 0;
       acked_for[PAIR(i, 0)] = 0; acked_for[PAIR(i, 1)] = 0; acked_for[PAIR(i, 2)] = 0;
       leave_age[PAIR(i, 0)] = 0; leave_age[PAIR(i, 1)] = 0; leave_age[PAIR(i, 2)] = 0;
       quiet_left[i] = QUIET; leaving[i] = 0 }
#else
  :: atomic { i == 0 && !dead[0] -> dead[0] = 1 }
#endif
  od
}

init {
  atomic {
#ifndef SHARE
    if :: share = 0 :: share = 1 :: share = 2 fi;
#endif
    run Clock(); run Host(0); run Host(1); run Host(2);
    run Prober(0, 1); run Prober(0, 2); run Prober(1, 0); run Prober(1, 2); run Prober(2, 0); run Prober(2, 1)
  }
}

#ifdef LIVE
/* Once the best rank has died, the next one grants within its share. */
ltl steps_in { (<> dead[0]) -> (<> (permit_left[1] > 1)) }
#endif
