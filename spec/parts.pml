/* A configuration split over values is taken whole or not at all.
 *
 * The operator writes part, part, manifest, each under its fixed key and one
 * at a time; two operators may race. Each of two replicas lags key by key, and
 * the service may be restored from a backup in the midst of it. The manifest
 * names the digests of its parts; a digest is modelled by the publication that
 * wrote the value. The reader reads each value from any replica.
 *
 * Bounds: 2 operators, 1 publication each, 1 restore, 1 reader.
 *
 * Rules, and the mutant that removes each:
 *  whole    the parts' digests must be the manifest's   PARTS_UNCHECKED
 *  reread   a reader that found a mismatch reads again  NO_REREAD
 */
#define PUBS 1
#define HOLD(p, e) p = (e); assert(p)

bool taken_whole = 1;

byte man[2], pa[2], pb[2]; /* publication that wrote the value; [0] takes the writes */
byte last;                 /* publications begun */
byte ended;                /* operators done */
byte inforce;              /* publication in force */
bool restored;

active [2] proctype Operator() {
  byte n = 0, v = 0;
  do
  :: atomic { n < PUBS -> last++; v = last; n++ };
     pa[0] = v; pb[0] = v; man[0] = v
  :: atomic { n == PUBS -> ended++; break }
  od
}

active proctype Replicate() {
end:
  do
  :: atomic { man[1] != man[0] -> man[1] = man[0] }
  :: atomic { pa[1] != pa[0] -> pa[1] = pa[0] }
  :: atomic { pb[1] != pb[0] -> pb[1] = pb[0] }
  od
}

active proctype Restore() {
end:
  do
  :: atomic { !restored && man[0] > 0 -> man[0] = 0; pa[0] = 0; pb[0] = 0; restored = 1 }
  od
}

active proctype Reader() {
  byte m = 0, a = 0, b = 0, r = 0;
end:
  do
  :: atomic { if :: r = 0 :: r = 1 fi; m = man[r]; r = 0 };
     atomic { if :: r = 0 :: r = 1 fi; a = pa[r]; r = 0 };
     atomic { if :: r = 0 :: r = 1 fi; b = pb[r]; r = 0;
       if
#ifdef MUTANT_PARTS_UNCHECKED
       :: m > 0 ->
#else
       :: m > 0 && m == a && m == b ->
#endif
          HOLD(taken_whole, m == a && m == b); inforce = m
       :: else
       fi;
       m = 0; a = 0; b = 0
     }
#ifdef MUTANT_NO_REREAD
     break
#endif
  od
}

#ifdef LIVE
/* When the operators have ended with a whole publication, it gets in force. */
#define WHOLE (man[0] > 0 && pa[0] == man[0] && pb[0] == man[0])
ltl whole_in_force { (<>[] (ended == 2 && WHOLE)) -> (<> (inforce > 0)) }
#endif
