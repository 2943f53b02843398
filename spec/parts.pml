/* A reader applies a configuration that is split over several values whole or
 * not at all.
 *
 * An operator writes both parts and then the manifest, each under its fixed key
 * and one at a time; two operators may race. The second of two replicas
 * replicates each key independently and with a delay, and the service may be
 * restored from a backup at any point. The manifest names the digests of its
 * parts; a digest is modelled by the number of the publication that wrote the
 * value. The reader reads each value from either replica.
 *
 * Bounds: 2 operators, 1 publication each, 1 restore, 1 reader.
 *
 * Rules, and the mutant that removes each:
 *  whole    the parts must match the digests in the manifest   PARTS_UNCHECKED
 *  reread   a reader that found a mismatch reads again         NO_REREAD
 */
#define PUBS 1
#define HOLD(p, e) p = (e); assert(p)

bool taken_whole = 1;

/* Publication that wrote the value; writes go to replica 0. */
byte manifest[2], part_a[2], part_b[2];
byte begun_pubs;           /* publications begun by both operators */
byte finished_operators;
byte in_force;             /* publication that the reader applied last; 0 for none */
bool restored;

active [2] proctype Operator() {
  byte n = 0, pub = 0;
  do
  :: atomic { n < PUBS -> begun_pubs++; pub = begun_pubs; n++ };
     part_a[0] = pub; part_b[0] = pub; manifest[0] = pub
  :: atomic { n == PUBS -> finished_operators++; break }
  od
}

active proctype Replicate() {
end:
  do
  :: atomic { manifest[1] != manifest[0] -> manifest[1] = manifest[0] }
  :: atomic { part_a[1] != part_a[0] -> part_a[1] = part_a[0] }
  :: atomic { part_b[1] != part_b[0] -> part_b[1] = part_b[0] }
  od
}

active proctype Restore() {
end:
  do
  :: atomic { !restored && manifest[0] > 0 -> manifest[0] = 0; part_a[0] = 0; part_b[0] = 0; restored = 1 }
  od
}

active proctype Reader() {
  byte m = 0, a = 0, b = 0, r = 0;
end:
  do
  :: atomic { if :: r = 0 :: r = 1 fi; m = manifest[r]; r = 0 };
     atomic { if :: r = 0 :: r = 1 fi; a = part_a[r]; r = 0 };
     atomic { if :: r = 0 :: r = 1 fi; b = part_b[r]; r = 0;
       if
#ifdef MUTANT_PARTS_UNCHECKED
       :: m > 0 ->
#else
       :: m > 0 && m == a && m == b ->
#endif
          HOLD(taken_whole, m == a && m == b); in_force = m
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
/* If the operators end with a complete publication, the reader applies one. */
#define WHOLE (manifest[0] > 0 && part_a[0] == manifest[0] && part_b[0] == manifest[0])
ltl whole_in_force { (<>[] (finished_operators == 2 && WHOLE)) -> (<> (in_force > 0)) }
#endif
