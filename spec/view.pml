/* The configuration in force on a host never reverts to an older version.
 *
 * A version is (manifest revision, digest), ordered as 2*revision+digest;
 * parts.pml models how one is read whole. The service answers from two
 * replicas, one of which lags, and may be restored from a backup, after which
 * it assigns the same revisions again. Hosts persist nothing across restarts; a
 * killed host restarts at once. When no host serves, a version that the service
 * has lost cannot be recovered, so the settled version is reset.
 *
 * Bounds: 3 hosts, 2 publications; from serving hosts with 2 kills, 1 restore
 * and 1 failure of the link between host 0 and the others, or (STARTS) from
 * starting hosts with 3 kills. For liveness: 2 hosts, of which host 0 never
 * reaches the service, 2 publications, 2 kills and 1 restore.
 *
 * Rules, and the mutant that removes each:
 *  newer-only   only a newer version replaces the one in force   ANY_VERSION
 *  ask-peers    a starting host serves once a serving peer has answered
 *                                                                START_ALONE
 *  same-time    a starting host also serves once each other host has answered
 *               twice, in the same incarnation, that it is starting too
 *                                                                ONE_ROUND
 *  pass-on      hosts take newer versions from peers             NO_PEERS
 */
#ifdef LIVE
#define HOSTS 2
#define PUBS 2
#define KILLS 2
#define LINK_FAILURES 0
#define RESTORES 1
#else
#define HOSTS 3
#ifdef STARTS
#define PUBS 2
#define KILLS 3
#define LINK_FAILURES 0
#define RESTORES 0
#else
#define PUBS 2
#define KILLS 2
#define LINK_FAILURES 1
#define RESTORES 1
#endif
#endif
#define ALL_HOSTS ((1 << HOSTS) - 1)
#define HOLD(p, e) p = (e); assert(p)

bool never_reverts = 1, settled_kept = 1;

byte manifest[2];          /* version on each replica; writes go to replica 0 */
bool serving[HOSTS];
byte in_force[HOSTS];      /* version in force, or the candidate of a starting host */
byte seen_by[HOSTS];       /* bit set of hosts that got an answer from this incarnation */
byte settled;              /* highest version that was in force on all hosts at once */
bool link_down;            /* between host 0 and the others */
bool restored;
byte kills;

#define REACH(i, j) ((i) != (j) && !(link_down && ((i) == 0 || (j) == 0)))

inline record_settled() {
  lowest = 255; serving_hosts = 0;
  for (k : 0 .. HOSTS-1) {
    if :: serving[k] -> serving_hosts++; if :: in_force[k] < lowest -> lowest = in_force[k] :: else fi
       :: else fi
  }
  if :: serving_hosts == 0 -> settled = 0
     :: serving_hosts == HOSTS && lowest > settled -> settled = lowest
     :: else fi;
  k = 0; lowest = 0; serving_hosts = 0
}

inline adopt(v) {
  if
#ifdef MUTANT_ANY_VERSION
  :: v != in_force[i] ->
#else
  :: v > in_force[i] ->
#endif
     HOLD(never_reverts, !serving[i] || v >= in_force[i]);
     in_force[i] = v
  :: else
  fi
}

inline start_serving() {
  serving[i] = 1; second_round = 0; starting = 0; seen_by[i] = 0;
  HOLD(settled_kept, in_force[i] >= settled)
}

/* Host i queries peer j and handles the answer. A starting host collects in
 * `starting` the peers that answered in this round that they are starting too. */
inline query(j) {
  if
  :: REACH(i, j) && serving[j] ->
#ifndef MUTANT_NO_PEERS
     adopt(in_force[j]);
#endif
     if :: !serving[i] -> start_serving() :: else fi;
     record_settled()
  :: REACH(i, j) && !serving[j] && !serving[i] ->
     if
     :: !second_round || (seen_by[j] & (1 << i)) -> starting = starting | (1 << j)
     :: else -> second_round = 0; starting = 1 << j
     fi;
     seen_by[j] = seen_by[j] | (1 << i);
     if :: (starting | (1 << i)) == ALL_HOSTS && !second_round -> second_round = 1; starting = 0 :: else fi
  :: else -> starting = 0; second_round = 0
  fi
}

/* All other hosts are starting at the same time as host i. */
#if defined(MUTANT_START_ALONE)
#define ALL_STARTING true
#elif defined(MUTANT_ONE_ROUND)
#define ALL_STARTING second_round
#else
#define ALL_STARTING (second_round && (starting | (1 << i)) == ALL_HOSTS)
#endif

/* Publishes the next revision; after a restore, with another digest. */
active proctype Operator() {
  byte n = 0;
end:
  do
  :: atomic { n < PUBS -> manifest[0] = (manifest[0]/2 + 1) * 2; manifest[0] = manifest[0] + restored; n++ }
  od
}

/* Copies the manifest to the lagging replica. */
active proctype Replicate() {
end:
  do
  :: atomic { manifest[1] != manifest[0] -> manifest[1] = manifest[0] }
  od
}

/* Restores an empty backup once; fails and repairs the link. */
active proctype Faults() {
  bool link_failed = 0;
end:
  do
  :: atomic { RESTORES > restored && manifest[0] > 0 -> manifest[0] = 0; restored = 1 }
  :: atomic { !link_failed && LINK_FAILURES > 0 -> link_down = 1; link_failed = 1 }
  :: link_down -> link_down = 0
  od
}

active [HOSTS] proctype Host() {
  byte i, j, starting, k, lowest, serving_hosts;
  bool replica, second_round;
  atomic { i = _pid - 3;
#if !defined(STARTS) && !defined(LIVE)
    serving[i] = 1
#endif
  }
end:
  do
  /* Is killed and restarts; no host has had an answer of the new incarnation. */
  :: atomic { kills < KILLS && serving[i] ->
       kills++; serving[i] = 0; in_force[i] = 0; seen_by[i] = 0; record_settled() }
  /* Reads either replica; for liveness, alternates between them. */
#ifdef LIVE
  :: atomic { replica = 1 - replica;
       if :: i != 0 && manifest[replica] > 0 -> adopt(manifest[replica]); record_settled() :: else fi;
       query(1 - i);
       if :: !serving[i] && in_force[i] > 0 && ALL_STARTING -> start_serving(); record_settled() :: else fi }
#else
  :: atomic { manifest[0] > 0 -> adopt(manifest[0]); record_settled() }
  :: atomic { manifest[1] > 0 && manifest[1] != manifest[0] -> adopt(manifest[1]); record_settled() }
  :: atomic { select (j : 0 .. HOSTS-1); if :: i != j -> query(j) :: else fi; j = 0 }
  /* Starts to serve once no other host can have a newer version than the service. */
  :: atomic { !serving[i] && in_force[i] > 0 && ALL_STARTING -> start_serving(); record_settled() }
#endif
  od
}

#ifdef LIVE
#define CURRENT(i) (serving[i] && in_force[i] >= manifest[0])
ltl reaches_all { (<>[] (manifest[0] > 0)) -> <>[] (CURRENT(0) && CURRENT(1)) }
#endif
