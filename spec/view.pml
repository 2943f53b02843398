/* The configuration in force never reverts.
 *
 * A version is (manifest revision, digest), ordered as 2*revision+digest;
 * parts.pml models how one is read whole. The service answers from two
 * replicas, one of which lags, and may be restored from a backup, after which
 * revisions are given out anew. Hosts keep nothing over a restart; a killed
 * host restarts at once. When no host serves, nothing remembers more than the
 * service does, and what was settled is forgotten.
 *
 * Bounds: 3 hosts, 2 publications; from serving hosts with 2 kills, 1 restore
 * and 1 cut of the link between host 0 and the others, or (STARTS) from
 * starting hosts with 3 kills. For liveness: 2 hosts, of which host 0 never
 * reaches the service, 2 publications, 2 kills and 1 restore.
 *
 * Rules, and the mutant that removes each:
 *  newer-only   only a newer version replaces the one in force   ANY_VERSION
 *  ask-peers    a starting host serves once a serving peer has answered ...
 *                                                                START_ALONE
 *  same-time    ... or once all other hosts have twice said, in the same
 *               incarnation, that they are starting too          ONE_ROUND
 *  pass-on      hosts take newer versions from peers             NO_PEERS
 */
#ifdef LIVE
#define HOSTS 2
#define PUBS 2
#define KILLS 2
#define CUTS 0
#define RESTORES 1
#else
#define HOSTS 3
#ifdef STARTS
#define PUBS 2
#define KILLS 3
#define CUTS 0
#define RESTORES 0
#else
#define PUBS 2
#define KILLS 2
#define CUTS 1
#define RESTORES 1
#endif
#endif
#define ALL ((1 << HOSTS) - 1)
#define HOLD(p, e) p = (e); assert(p)

bool never_reverts = 1, settled_kept = 1;

byte man[2];               /* replica 0 takes the writes */
bool serving[HOSTS];
byte inforce[HOSTS];       /* version in force, or the candidate of a start */
byte fresh[HOSTS];         /* hosts that know this one to be in the same start */
byte settled;              /* highest version in force on all hosts at once */
bool cut;                  /* host 0 cannot reach the others */
bool restored;
byte kills;

#define REACH(i, j) ((i) != (j) && !(cut && ((i) == 0 || (j) == 0)))

inline settle() {
  low = 255; up = 0;
  for (k : 0 .. HOSTS-1) {
    if :: serving[k] -> up++; if :: inforce[k] < low -> low = inforce[k] :: else fi
       :: else fi
  }
  if :: up == 0 -> settled = 0
     :: up == HOSTS && low > settled -> settled = low
     :: else fi;
  k = 0; low = 0; up = 0
}

inline take(v) {
  if
#ifdef MUTANT_ANY_VERSION
  :: v != inforce[i] ->
#else
  :: v > inforce[i] ->
#endif
     HOLD(never_reverts, !serving[i] || v >= inforce[i]);
     inforce[i] = v
  :: else
  fi
}

inline serve() {
  serving[i] = 1; second = 0; asked = 0; fresh[i] = 0;
  HOLD(settled_kept, inforce[i] >= settled)
}

/* One answer of peer j to host i, and what host i does with it. */
inline ask(j) {
  if
  :: REACH(i, j) && serving[j] ->
#ifndef MUTANT_NO_PEERS
     take(inforce[j]);
#endif
     if :: !serving[i] -> serve() :: else fi;
     settle()
  :: REACH(i, j) && !serving[j] && !serving[i] ->
     if
     :: !second || (fresh[j] & (1 << i)) -> asked = asked | (1 << j)
     :: else -> second = 0; asked = 1 << j
     fi;
     fresh[j] = fresh[j] | (1 << i);
     if :: (asked | (1 << i)) == ALL && !second -> second = 1; asked = 0 :: else fi
  :: else -> asked = 0; second = 0
  fi
}

/* All other hosts are starting at one time. */
#if defined(MUTANT_START_ALONE)
#define ANSWERED true
#elif defined(MUTANT_ONE_ROUND)
#define ANSWERED second
#else
#define ANSWERED (second && (asked | (1 << i)) == ALL)
#endif

/* Publishes the next revision; after a restore under another digest. */
active proctype Operator() {
  byte n = 0;
end:
  do
  :: atomic { n < PUBS -> man[0] = (man[0]/2 + 1) * 2; man[0] = man[0] + restored; n++ }
  od
}

/* Copies to the lagging replica. */
active proctype Replicate() {
end:
  do
  :: atomic { man[1] != man[0] -> man[1] = man[0] }
  od
}

/* Restores the empty backup; cuts and mends the link. */
active proctype Faults() {
  bool done = 0;
end:
  do
  :: atomic { RESTORES > restored && man[0] > 0 -> man[0] = 0; restored = 1 }
  :: atomic { !done && CUTS > 0 -> cut = 1; done = 1 }
  :: cut -> cut = 0
  od
}

active [HOSTS] proctype Host() {
  byte i, j, asked, k, low, up;
  bool r, second;
  atomic { i = _pid - 3;
#if !defined(STARTS) && !defined(LIVE)
    serving[i] = 1
#endif
  }
end:
  do
  /* Dies; the fresh start is unknown to all. */
  :: atomic { kills < KILLS && serving[i] ->
       kills++; serving[i] = 0; inforce[i] = 0; fresh[i] = 0; settle() }
  /* Reads some replica; for liveness each in turn. */
#ifdef LIVE
  :: atomic { r = 1 - r;
       if :: i != 0 && man[r] > 0 -> take(man[r]); settle() :: else fi;
       ask(1 - i);
       if :: !serving[i] && inforce[i] > 0 && ANSWERED -> serve(); settle() :: else fi }
#else
  :: atomic { man[0] > 0 -> take(man[0]); settle() }
  :: atomic { man[1] > 0 && man[1] != man[0] -> take(man[1]); settle() }
  :: atomic { select (j : 0 .. HOSTS-1); if :: i != j -> ask(j) :: else fi; j = 0 }
  /* Serves when nobody can know more than the service. */
  :: atomic { !serving[i] && inforce[i] > 0 && ANSWERED -> serve(); settle() }
#endif
  od
}

#ifdef LIVE
#define CURRENT(i) (serving[i] && inforce[i] >= man[0])
ltl reaches_all { (<>[] (man[0] > 0)) -> <>[] (CURRENT(0) && CURRENT(1)) }
#endif
