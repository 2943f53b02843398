/* An endpoint that checks fencing tokens never accepts a lower one than before,
 * and an owner that is refused raises its token above the one in the refusal.
 *
 * Two owners of different rank send orders under one view, both at any time. An
 * order carries a token made of epoch and rank, and arrives at any time or is
 * lost. The endpoint answers a lower token with the highest that it has
 * accepted; the answer is delayed or lost. Owners persist nothing across restarts.
 *
 * Bounds: 2 owners, 2 orders of each in flight, EPOCHS epochs, 2 restarts.
 *
 * Rules, and the mutant that removes each:
 *  fenced  an endpoint refuses a lower token                         NO_FENCE
 *  raised  a refused owner's epoch is above that of the refusal      NO_EPOCH
 */
#define EPOCHS 5
#define RESTARTS 2
#define TOKEN(i) (epoch[i] * 2 + (i) + 1)
#define HOLD(p, e) p = (e); assert(p)

bool fence_kept = 1, epoch_raised = 1;

/* order and refusal hold the token of a message in flight, or 0. Owner i sends
 * orders 2*i and 2*i+1. */
byte epoch[2], order[4], refusal[2], highest_token, restarts;

proctype Owner(byte i) {
end:
  do
  :: atomic { order[i*2] == 0 -> order[i*2] = TOKEN(i) }
  :: atomic { order[i*2 + 1] == 0 -> order[i*2 + 1] = TOKEN(i) }
  /* A refusal arrives; it may answer an order from before the last raise. */
  :: atomic { refusal[i] != 0 && (refusal[i] - 1) / 2 < EPOCHS ->
#ifndef MUTANT_NO_EPOCH
       if :: epoch[i] <= (refusal[i] - 1) / 2 -> epoch[i] = (refusal[i] - 1) / 2 + 1 :: else fi;
#endif
       HOLD(epoch_raised, TOKEN(i) > refusal[i]); refusal[i] = 0 }
  :: atomic { refusal[i] != 0 -> refusal[i] = 0 }
  :: atomic { restarts < RESTARTS -> restarts++; epoch[i] = 0; refusal[i] = 0 }
  od
}

/* One endpoint runs as one process per element of `order`, so that orders arrive
 * in any sequence or are lost. */
proctype Endpoint(byte slot) {
end:
  do
  :: atomic { order[slot] != 0 ->
       if
#ifdef MUTANT_NO_FENCE
       :: true ->
#else
       :: order[slot] >= highest_token ->
#endif
          HOLD(fence_kept, order[slot] >= highest_token); highest_token = order[slot]
       :: order[slot] < highest_token -> refusal[slot / 2] = highest_token
       fi;
       order[slot] = 0 }
  :: atomic { order[slot] != 0 -> order[slot] = 0 }
  od
}

init {
  atomic { run Owner(0); run Owner(1); run Endpoint(0); run Endpoint(1); run Endpoint(2); run Endpoint(3) }
}
