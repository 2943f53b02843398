/* What hosts of grant.pml know of each other, and how it ages. */

/* Host x hears from host y. */
inline hear(x, y) {
  if :: BEFORE(y, x) -> heard[P(x, y)] = 0 :: else fi;
  if :: !leaving[y] -> gone[P(x, y)] = 0
     :: leaving[y] && gone[P(x, y)] == 0 -> gone[P(x, y)] = 1
     :: else fi
}

proctype Clock() {
  byte n;
end:
  do
  :: d_step {
       n = 0;
       do
       :: n < 9 ->
          if :: heard[n] < STEPIN -> heard[n]++ :: else fi;
          if :: acked[n] != 0 && chain[n] < PERMIT -> chain[n]++
             :: acked[n] == 0 -> chain[n] = 0
             :: else fi;
          if :: gone[n] > 0 && gone[n] <= PERMIT -> gone[n]++ :: else fi;
          acked[n] = 0; n++
       :: else -> break
       od;
       n = 0;
       do
       :: n < 3 ->
          if :: life[n] > 1 -> life[n]-- :: else fi;
          if :: quiet[n] > 0 -> quiet[n]-- :: else fi;
#ifdef LISTS
          if :: confirmed[n] < FRESH -> confirmed[n]++ :: else fi;
          if :: view[n] == 1 && since[n] < STEPIN -> since[n]++ :: else fi;
#endif
          n++
       :: else -> break
       od;
       n = 0 }
#ifdef LISTS
  :: list == 0 -> list = 1
#endif
  od
}
