/* The right of host i to the share s of grant.pml, as core/bbtowner.Map.Right and
 * Rights.Slots have it; placement p ranks host i as RANK(p, i). */
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
