/* One owner at a time grants, a cold endpoint's budget holds, no permit is used
 * late, and fencing numbers of orders never go back.
 *
 * Three electors vote; hosts 0 and 1 ask for the ownership of one cold endpoint
 * that bears one request. A vote counts LEASE from the sending of the question;
 * its elector keeps to it for PROMISE. Questions, reports and permits are late
 * or lost; hosts restart with nothing kept; a paused host takes no step and acts
 * late. Checking a clock and acting on it are one step. Permits are held by
 * entry hosts, which outlive their owner.
 *
 * Bounds: 3 electors, 2 claimants, TICKS ticks, 1 restart, one permit or
 * (ORDERS) one order of an owner under way at a time, fixed electors: what a
 * lagging host list does to the electorate is not modelled.
 *
 * Rules, and the mutant that removes each:
 *  promise    an elector keeps to its vote beyond lease and permits  SHORT_PROMISE
 *  restart    a restarted elector is silent for PROMISE; needed only where one
 *             informed vote is enough                               EARLY_VOTE
 *  lease      an owner grants only while its votes are fresh         NO_LEASE
 *  lapsed     an owner whose lease ran out gives up before it asks again:
 *             its report and its fencing number are void            KEEP_LAPSED
 *  expiry     a permit is checked immediately before its use         NO_EXPIRY
 *  report     a new owner grants nothing before a report that was measured
 *             after it became owner                                  NO_REPORT
 *  informed   a majority of votes counts only of electors that heard of an
 *             owner since they started; else all must vote          ONE_INFORMED
 *  epoch      a new owner's fencing number is above all that its electors know
 *             and above the one an endpoint refuses it with          NO_EPOCH
 *  fenced     an endpoint that checks refuses a lower number         NO_FENCE
 */
#define LEASE 1
#ifdef ORDERS
#define PERMIT 1
#define TICKS 4
#else
#define PERMIT 2
#define TICKS 5
#endif
#ifdef MUTANT_SHORT_PROMISE
#define PROMISE LEASE
#else
#define PROMISE (LEASE + PERMIT)
#endif
#define START (PROMISE + 1)
#define KILLS 1
#define NONE 9
#define HOLD(p, e) p = (e); assert(p)

bool one_granter = 1, cold_budget = 1, none_expired = 1, fence_kept = 1;

byte now = START, kills, gens;
byte holder[3] = NONE, until[3], quiet[3], epoch[3];  /* electors */
bool fresh[3] = 1;                        /* cannot know of an earlier owner */
bool holding[2], known[2], taken[2];      /* taken: own permit counted */
byte sent[2], ballot[6], acquired[2], gen[2], since[2], foreign[2];
bool permit[2]; byte expiry[2];           /* at entry hosts */
bool dispatched[2];                       /* under the permit, running */
byte running;
byte order[2], ordergen[2];               /* under way; 0 none */
byte fence, accepted;                     /* at the endpoint */

#define B(i, j) ballot[(i)*3 + (j)]
#define VOTE(i, j) ((i) == (j) || (B(i, j) != 0 && now < B(i, j) + LEASE))
#define VOTES(i) (VOTE(i, 0) + VOTE(i, 1) + VOTE(i, 2))
#define KNOWS(i, j) (VOTE(i, j) && !fresh[j])
#if defined(MUTANT_ONE_INFORMED) || defined(MUTANT_EARLY_VOTE)
#define ENOUGH(i) (VOTES(i) >= 2 && (KNOWS(i, 0) || KNOWS(i, 1) || KNOWS(i, 2)) || VOTES(i) == 3)
#else
#define ENOUGH(i) (KNOWS(i, 0) + KNOWS(i, 1) + KNOWS(i, 2) >= 2 || VOTES(i) == 3)
#endif
#define SUPPORTED(i) (holder[i] == (i) && ENOUGH(i))
#define FREE(j, i) (holder[j] == NONE || holder[j] == (i) || now >= until[j])
#ifdef MUTANT_EARLY_VOTE
#define AWAKE(j) true
#else
#define AWAKE(j) (now >= quiet[j])
#endif
#ifdef MUTANT_NO_LEASE
#define HOLDS(i) holding[i]
#else
#define HOLDS(i) (holding[i] && SUPPORTED(i))
#endif

#if defined(MUTANT_KEEP_LAPSED) || defined(MUTANT_NO_LEASE)
#define MAY_ASK(i) true
#else
#define MAY_ASK(i) (!holding[i] || SUPPORTED(i))
#endif
#ifdef MUTANT_NO_REPORT
#define REPORTED(i) true
#else
#define REPORTED(i) known[i]
#endif
#ifdef MUTANT_NO_EXPIRY
#define VALID(i) true
#else
#define VALID(i) (now < expiry[i])
#endif

inline raise(e, to) { if :: e < to -> e = to :: else fi }

inline lose() {
  holding[i] = 0; known[i] = 0; foreign[i] = 0; since[i] = 0; taken[i] = 0; acquired[i] = 0; gen[i] = 0
}

proctype Claimant(byte i) {
  byte j;
end:
  do
  /* Asks; votes for itself. */
  :: atomic { AWAKE(i) && FREE(i, i) && sent[i] != now && MAY_ASK(i) ->
       sent[i] = now; holder[i] = i; until[i] = now + PROMISE }
  /* An elector votes; its answer arrives. */
  :: atomic { select (j : 0 .. 2);
       if
       :: j != i && sent[i] != 0 && AWAKE(j) && FREE(j, i) && B(i, j) != sent[i] ->
          holder[j] = i; until[j] = now + PROMISE;
          B(i, j) = sent[i]; raise(epoch[i], epoch[j]);
          if :: holding[i] -> raise(epoch[j], acquired[i]); fresh[j] = 0 :: else -> raise(epoch[j], epoch[i] + 1) fi
       :: else
       fi; j = 0 }
  :: atomic { !holding[i] && SUPPORTED(i) ->
       holding[i] = 1; fresh[i] = 0; since[i] = now; gens++; gen[i] = gens;
#ifndef MUTANT_NO_EPOCH
       epoch[i]++;
#endif
       acquired[i] = epoch[i] }
#ifndef MUTANT_NO_LEASE
  :: atomic { holding[i] && !SUPPORTED(i) -> lose() }
#endif
#ifndef ORDERS
  /* A report: measured now; it reaches the owner before the next. */
  :: atomic { HOLDS(i) && !known[i] ->
       foreign[i] = running - dispatched[i]; known[i] = 1 }
  :: atomic { known[i] && foreign[i] > running - dispatched[i] -> foreign[i] = running - dispatched[i] }
  /* Grants within the budget of one. */
  :: atomic { HOLDS(i) && !taken[i] && !permit[i] && !dispatched[i] && foreign[i] == 0 && REPORTED(i) ->
       taken[i] = 1; permit[i] = 1; expiry[i] = now + PERMIT;
       HOLD(one_granter, !(permit[1-i] && now < expiry[1-i])) }
#else
  /* Sends an order. */
  :: atomic { HOLDS(i) && order[i] == 0 -> order[i] = acquired[i]; ordergen[i] = gen[i] }
#endif
  :: atomic { kills < KILLS -> kills++; lose(); sent[i] = 0;
       B(i, 0) = 0; B(i, 1) = 0; B(i, 2) = 0;
       holder[i] = NONE; until[i] = 0; epoch[i] = 0; fresh[i] = 1; quiet[i] = now + PROMISE }
  od
}

/* The entry host that holds the permits of owner i, and the endpoint. */
proctype Entry(byte i) {
end:
  do
#ifndef ORDERS
  :: atomic { permit[i] && VALID(i) -> HOLD(none_expired, now < expiry[i]);
       permit[i] = 0; expiry[i] = 0; dispatched[i] = 1; running++;
       HOLD(cold_budget, running <= 1) }
  :: atomic { permit[i] && now >= expiry[i] -> permit[i] = 0; expiry[i] = 0; taken[i] = 0 }
  :: atomic { dispatched[i] -> dispatched[i] = 0; running--; taken[i] = 0 }
#else
  /* An order arrives at an endpoint that checks, at any time. */
  :: atomic { order[i] != 0 ->
       if
#ifdef MUTANT_NO_FENCE
       :: true ->
#else
       :: order[i] * 2 + i >= fence ->
#endif
          HOLD(fence_kept, ordergen[i] >= accepted);
          fence = order[i] * 2 + i; accepted = ordergen[i]
       :: order[i] * 2 + i < fence ->
          if :: holding[i] && ordergen[i] == gen[i] -> acquired[i] = fence/2 + 1; raise(epoch[i], acquired[i])
             :: else fi
       fi;
       order[i] = 0; ordergen[i] = 0 }
#endif
  od
}

proctype Clock() {
end:
  do
  :: now < START + TICKS -> now++
  od
}

init { atomic { run Clock(); run Claimant(0); run Claimant(1); run Entry(0); run Entry(1) } }
