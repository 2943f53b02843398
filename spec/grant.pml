/* Permits for one share of an endpoint's slots can be used from one host at a
 * time, so that all permits together keep within the slots; none is used late.
 *
 * Three hosts rank for an endpoint; each rank has a share. The search covers
 * each share. A host probes others; the answer counts YIELD from the sending of
 * the probe, and who hears from a better rank leaves the endpoint alone for
 * STEPIN. Any probe or answer is lost, in one direction too; a late one counts
 * for less than one at once, so an exchange is one step. A paused host takes
 * no step and acts late; hosts restart with nothing kept. Checking a clock and
 * acting on it are one step. Permits are held by entry hosts, which outlive
 * their owner. Times are ages, so that runs have no end.
 *
 * Bounds: 3 hosts; YIELD 1 tick, permits 2. LEAVES: one host leaves, one
 * restart, the first share. LISTS: the host list changes once and ranks the first
 * host last; hosts learn of it late; no restarts; the first or the second share.
 *
 * Rules, and the mutant that removes each:
 *  step-in    a worse rank waits beyond YIELD and permits         SHORT_STEP_IN
 *  answered   a worse rank's share only with its answer           NO_ANSWER
 *  best       only the best rank takes others' shares             SECOND_TAKES
 *  settled    an answer or leave counts once the permits from before it
 *             have expired                                        EARLY_YIELD
 *  quiet      a process that starts has no right as long as others may use
 *             its share: YIELD and permits                        SHORT_QUIET
 *  expiry     a permit is checked immediately before its use      NO_EXPIRY
 *  fresh      no right without a confirmed view                   NO_FRESH
 *  both       while two placements count, the smaller right holds NEWEST_ONLY
 *  late       a host whose view lapsed before it learns of a new list has no
 *             right for QUIET                                     LATE_LIST
 *  steps      (liveness) a rank that hears no better one has its share  NO_STEP_IN
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
byte s = SHARE;                           /* the share that is looked at */
#else
byte s;
#endif
byte heard[9], chain[9], acked[9], gone[9]; /* of pairs */
bool leaving[3], dead[3];
byte life[3];                             /* of the newest permit; 0 none, 1 expired */
byte leaves, restarts;
byte quiet[3], view[3], since[3], confirmed[3], list;

#define P(i, j) ((i)*3 + (j))
#define RANK(p, i) (((i) + 2*(p)) % 3)
#define OF(p, r) (((r) + (p)) % 3)
#define BETTER(p, k, i) (RANK(p, k) < RANK(p, i))
#ifdef MUTANT_EARLY_YIELD
#define SETTLED(c) true
#define GONE(i, k) (gone[P(i, k)] > 0)
#else
#define SETTLED(c) ((c) >= PERMIT)
#define GONE(i, k) (gone[P(i, k)] > PERMIT)
#endif
#define LEFT(i, k) (GONE(i, k) && acked[P(i, k)] != 0)
#define SAME(i, k) (acked[P(i, k)] == view[i] + 1)
#ifdef MUTANT_NO_ANSWER
#define YIELDS(i, k) true
#else
#define YIELDS(i, k) (LEFT(i, k) || SAME(i, k) && SETTLED(chain[P(i, k)]))
#endif
#ifdef MUTANT_NO_STEP_IN
#define HB(p, i, k) BETTER(p, k, i)
#else
#define HB(p, i, k) (BETTER(p, k, i) && !GONE(i, k) && heard[P(i, k)] < STEPIN)
#endif
#define HEARD(p, i) (HB(p, i, 0) || HB(p, i, 1) || HB(p, i, 2))
#define STAYS(p, i, k) (BETTER(p, k, i) && !LEFT(i, k))
#ifdef MUTANT_SECOND_TAKES
#define BEST(p, i) true
#else
#define BEST(p, i) !(STAYS(p, i, 0) || STAYS(p, i, 1) || STAYS(p, i, 2))
#endif
#define UNDER(p, i) (!HEARD(p, i) && (RANK(p, i) == s || BEST(p, i) && YIELDS(i, OF(p, s))))
#ifdef MUTANT_NEWEST_ONLY
#define PLACED(i) (view[i] == 0 && UNDER(0, i) || view[i] == 1 && UNDER(1, i))
#else
#define PLACED(i) ((view[i] == 1 && since[i] >= STEPIN || UNDER(0, i)) && \
                   (view[i] == 0 || since[i] < YIELD || UNDER(1, i)))
#endif
#ifdef MUTANT_NO_FRESH
#define CONFIRMED(i) true
#else
#define CONFIRMED(i) (confirmed[i] < FRESH)
#endif
#define RIGHT(i) (!dead[i] && !leaving[i] && quiet[i] == 0 && CONFIRMED(i) && PLACED(i))
#ifdef MUTANT_NO_EXPIRY
#define VALID(i) (life[i] > 0)
#else
#define VALID(i) (life[i] > 1)
#endif
#define OTHER(i) (life[((i)+1) % 3] > 1 || life[((i)+2) % 3] > 1)

#ifdef LEAVES
#define COUNTED 1
#else
#define COUNTED 0
#endif

/* What no right depends on is not kept. */
#ifdef LISTS
#define BEFORE(j, i) ((i) == OF(0, s) && BETTER(0, j, i) || (i) == OF(1, s) && BETTER(1, j, i))
#define ASKS(i, j) ((i) == OF(0, 0) && (j) == OF(0, s) || (i) == OF(1, 0) && (j) == OF(1, s))
#else
#define BEFORE(j, i) ((j) < (i))
#ifdef LEAVES
#define ASKS(i, j) ((j) == s || BEFORE(j, i))
#else
#define ASKS(i, j) ((j) == s)
#endif
#endif

#include "ages.h"

/* Host i probes host j. */
proctype Pair(byte i, j) {
end:
  do
  :: atomic { !dead[i] && !dead[j] && acked[P(i, j)] == 0 ->
       hear(j, i);
       if :: hear(i, j); acked[P(i, j)] = ASKS(i, j) * (view[j] + 1) :: skip fi }  /* or the answer is lost */
  od
}

proctype Host(byte i) {
end:
  do
  :: atomic { RIGHT(i) && life[i] <= PERMIT ->
       life[i] = PERMIT + 1; HOLD(within_slots, !OTHER(i)) }
  :: atomic { VALID(i) -> HOLD(none_expired, life[i] > 1); life[i] = life[i] }
#ifdef LEAVES
  :: atomic { leaves < 1 && !leaving[i] -> leaving[i] = 1; leaves++ }
#endif
#ifdef LISTS
  :: atomic { confirmed[i] > 0 || view[i] != list ->
       if :: view[i] != list ->
             view[i] = list; since[i] = 0;
#ifndef MUTANT_LATE_LIST
             if :: confirmed[i] >= FRESH -> quiet[i] = QUIET :: else fi
#endif
          :: else fi;
       confirmed[i] = 0 }
#elif !defined(LIVE)
  :: atomic { restarts < 1 -> restarts = restarts + COUNTED;
       if :: i > 0 -> heard[P(i, 0)] = 0 :: else fi;
       if :: i > 1 -> heard[P(i, 1)] = 0 :: else fi;
       acked[P(i, 0)] = 0; acked[P(i, 1)] = 0; acked[P(i, 2)] = 0;
       chain[P(i, 0)] = 0; chain[P(i, 1)] = 0; chain[P(i, 2)] = 0;
       gone[P(i, 0)] = 0; gone[P(i, 1)] = 0; gone[P(i, 2)] = 0;
       quiet[i] = QUIET; leaving[i] = 0 }
#else
  :: atomic { i == 0 && !dead[0] -> dead[0] = 1 }
#endif
  od
}

init {
  atomic {
    #ifndef SHARE
    if :: s = 0 :: s = 1 :: s = 2 fi;
#endif
    run Clock(); run Host(0); run Host(1); run Host(2);
    run Pair(0, 1); run Pair(0, 2); run Pair(1, 0); run Pair(1, 2); run Pair(2, 0); run Pair(2, 1)
  }
}

#ifdef LIVE
/* When the best rank has died, the next one grants within its share. */
ltl steps_in { (<> dead[0]) -> (<> (life[1] > 1)) }
#endif
