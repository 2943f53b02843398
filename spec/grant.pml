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
 * modelled as ages, so that runs are unbounded.
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
 *             share: for YIELD and permits                        SHORT_QUIET
 *  expiry     a permit is checked immediately before its use      NO_EXPIRY
 *  fresh      no right without a confirmed view                   NO_FRESH
 *  both       while two placements count, both must give the right  NEWEST_ONLY
 *  late       a host whose view was no longer confirmed when it learns of a new
 *             list has no right for QUIET                         LATE_LIST
 *  steps      (liveness) a rank that hears no better one gets its share  NO_STEP_IN
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
/* Per pair of hosts i and j, indexed with P(i, j):
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

#define P(i, j) ((i)*3 + (j))
#define RANK(p, i) (((i) + 2*(p)) % 3)
#define OF(p, r) (((r) + (p)) % 3)
#define BETTER(p, k, i) (RANK(p, k) < RANK(p, i))
#ifdef MUTANT_EARLY_YIELD
#define SETTLED(c) true
#define GONE(i, k) (leave_age[P(i, k)] > 0)
#else
#define SETTLED(c) ((c) >= PERMIT)
#define GONE(i, k) (leave_age[P(i, k)] > PERMIT)
#endif
#define LEFT(i, k) (GONE(i, k) && acked_view[P(i, k)] != 0)
#define SAME(i, k) (acked_view[P(i, k)] == view[i] + 1)
#ifdef MUTANT_NO_ANSWER
#define YIELDS(i, k) true
#else
#define YIELDS(i, k) (LEFT(i, k) || SAME(i, k) && SETTLED(acked_for[P(i, k)]))
#endif
#ifdef MUTANT_NO_STEP_IN
#define HB(p, i, k) BETTER(p, k, i)
#else
#define HB(p, i, k) (BETTER(p, k, i) && !GONE(i, k) && heard_age[P(i, k)] < STEPIN)
#endif
#define HEARD(p, i) (HB(p, i, 0) || HB(p, i, 1) || HB(p, i, 2))
#define STAYS(p, i, k) (BETTER(p, k, i) && !LEFT(i, k))
#ifdef MUTANT_SECOND_TAKES
#define BEST(p, i) true
#else
#define BEST(p, i) !(STAYS(p, i, 0) || STAYS(p, i, 1) || STAYS(p, i, 2))
#endif
#define UNDER(p, i) (!HEARD(p, i) && (RANK(p, i) == share || BEST(p, i) && YIELDS(i, OF(p, share))))
#ifdef MUTANT_NEWEST_ONLY
#define PLACED(i) (view[i] == 0 && UNDER(0, i) || view[i] == 1 && UNDER(1, i))
#else
#define PLACED(i) ((view[i] == 1 && view_age[i] >= STEPIN || UNDER(0, i)) && \
                   (view[i] == 0 || view_age[i] < YIELD || UNDER(1, i)))
#endif
#ifdef MUTANT_NO_FRESH
#define CONFIRMED(i) true
#else
#define CONFIRMED(i) (confirm_age[i] < FRESH)
#endif
#define RIGHT(i) (!dead[i] && !leaving[i] && quiet_left[i] == 0 && CONFIRMED(i) && PLACED(i))
#ifdef MUTANT_NO_EXPIRY
#define VALID(i) (permit_left[i] > 0)
#else
#define VALID(i) (permit_left[i] > 1)
#endif
#define OTHER(i) (permit_left[((i)+1) % 3] > 1 || permit_left[((i)+2) % 3] > 1)

/* Restarts are bounded only with LEAVES. */
#ifdef LEAVES
#define COUNTED 1
#else
#define COUNTED 0
#endif

/* BEFORE and ASKS select the pairs whose state a right depends on; the state of
 * other pairs is not recorded, which keeps the search small. */
#ifdef LISTS
#define BEFORE(j, i) ((i) == OF(0, share) && BETTER(0, j, i) || (i) == OF(1, share) && BETTER(1, j, i))
#define ASKS(i, j) ((i) == OF(0, 0) && (j) == OF(0, share) || (i) == OF(1, 0) && (j) == OF(1, share))
#else
#define BEFORE(j, i) ((j) < (i))
#ifdef LEAVES
#define ASKS(i, j) ((j) == share || BEFORE(j, i))
#else
#define ASKS(i, j) ((j) == share)
#endif
#endif

#include "ages.h"

/* Host i probes host j. */
proctype Prober(byte i, j) {
end:
  do
  :: atomic { !dead[i] && !dead[j] && acked_view[P(i, j)] == 0 ->
       receive(j, i);
       if :: receive(i, j); acked_view[P(i, j)] = ASKS(i, j) * (view[j] + 1) :: skip fi }  /* or the answer is lost */
  od
}

proctype Host(byte i) {
end:
  do
  :: atomic { RIGHT(i) && permit_left[i] <= PERMIT ->
       permit_left[i] = PERMIT + 1; HOLD(within_slots, !OTHER(i)) }
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
  :: atomic { restarts < 1 -> restarts = restarts + COUNTED;
       if :: i > 0 -> heard_age[P(i, 0)] = 0 :: else fi;
       if :: i > 1 -> heard_age[P(i, 1)] = 0 :: else fi;
       acked_view[P(i, 0)] = 0; acked_view[P(i, 1)] = 0; acked_view[P(i, 2)] = 0;
       acked_for[P(i, 0)] = 0; acked_for[P(i, 1)] = 0; acked_for[P(i, 2)] = 0;
       leave_age[P(i, 0)] = 0; leave_age[P(i, 1)] = 0; leave_age[P(i, 2)] = 0;
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
