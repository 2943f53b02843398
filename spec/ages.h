/* What the hosts of grant.pml know of each other, and the clock that ages it. */

/* Host x receives a message from host y. */
inline receive(x, y) {
  if :: TRACKS_HEARD(y, x) -> heard_age[PAIR(x, y)] = 0 :: else fi;
  if :: !leaving[y] -> leave_age[PAIR(x, y)] = 0
     :: leaving[y] && leave_age[PAIR(x, y)] == 0 -> leave_age[PAIR(x, y)] = 1
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
          if :: heard_age[n] < STEPIN -> heard_age[n]++ :: else fi;
          if :: acked_view[n] != 0 && acked_for[n] < PERMIT -> acked_for[n]++
             :: acked_view[n] == 0 -> acked_for[n] = 0
             :: else fi;
          if :: leave_age[n] > 0 && leave_age[n] <= PERMIT -> leave_age[n]++ :: else fi;
          acked_view[n] = 0; n++
       :: else -> break
       od;
       n = 0;
       do
       :: n < 3 ->
          if :: permit_left[n] > 1 -> permit_left[n]-- :: else fi;
          if :: quiet_left[n] > 0 -> quiet_left[n]-- :: else fi;
#ifdef LISTS
          if :: confirm_age[n] < FRESH -> confirm_age[n]++ :: else fi;
          if :: view[n] == 1 && view_age[n] < STEPIN -> view_age[n]++ :: else fi;
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
