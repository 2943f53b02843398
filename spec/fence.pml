/* An endpoint that checks fencing numbers never goes back to a lower one, and an
 * owner that is refused numbers above the number that refused it.
 *
 * Two ranks give orders under one view, both at any time; an order carries
 * epoch and rank, arrives at any time or is lost. The endpoint answers a lower
 * number with its own; the answer is late or lost. Ranks restart with nothing
 * kept.
 *
 * Bounds: 2 ranks, 2 orders of each under way, EPOCHS epochs, 2 restarts.
 *
 * Rules, and the mutant that removes each:
 *  fenced  an endpoint refuses a lower number                     NO_FENCE
 *  raised  a refused owner's epoch is above the one that refused it  NO_EPOCH
 */
#define EPOCHS 5
#define RESTARTS 2
#define NUMBER(i) (epoch[i] * 2 + (i) + 1)
#define HOLD(p, e) p = (e); assert(p)

bool fence_kept = 1, epoch_raised = 1;

byte epoch[2], order[4], refusal[2], fence, restarts;

proctype Rank(byte i) {
end:
  do
  :: atomic { order[i*2] == 0 -> order[i*2] = NUMBER(i) }
  :: atomic { order[i*2 + 1] == 0 -> order[i*2 + 1] = NUMBER(i) }
  /* A refusal arrives; it may be of an order before the last raise. */
  :: atomic { refusal[i] != 0 && (refusal[i] - 1) / 2 < EPOCHS ->
#ifndef MUTANT_NO_EPOCH
       if :: epoch[i] <= (refusal[i] - 1) / 2 -> epoch[i] = (refusal[i] - 1) / 2 + 1 :: else fi;
#endif
       HOLD(epoch_raised, NUMBER(i) > refusal[i]); refusal[i] = 0 }
  :: atomic { refusal[i] != 0 -> refusal[i] = 0 }
  :: atomic { restarts < RESTARTS -> restarts++; epoch[i] = 0; refusal[i] = 0 }
  od
}

proctype Endpoint(byte n) {
end:
  do
  :: atomic { order[n] != 0 ->
       if
#ifdef MUTANT_NO_FENCE
       :: true ->
#else
       :: order[n] >= fence ->
#endif
          HOLD(fence_kept, order[n] >= fence); fence = order[n]
       :: order[n] < fence -> refusal[n / 2] = fence
       fi;
       order[n] = 0 }
  :: atomic { order[n] != 0 -> order[n] = 0 }
  od
}

init {
  atomic { run Rank(0); run Rank(1); run Endpoint(0); run Endpoint(1); run Endpoint(2); run Endpoint(3) }
}
