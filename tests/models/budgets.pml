/* The dealing of src/budgets, for spin: can all together ever have more than the whole?
 *
 * Two who deal, one after another as the lease has it (an earlier one may stand still and act late, by what it then
 * believes), and two who use. Time is ticks that all count down by; the margin for drifting clocks is here that a grant
 * ends a tick earlier at its user than at the dealer. An ask shows what is had; each user has one ask at each dealer
 * under way, which may be read late, or twice, after later ones have been sent; an answer likewise, or never.
 *
 * Each of BROKEN_LEARN (a new dealer deals at once), BROKEN_FIRST (gives before it has taken back), BROKEN_LAST (an
 * answer to an earlier ask is taken), BROKEN_END (a user uses what has ended) and BROKEN_ASKED (a dealer that stood
 * still deals without asking its lease) must be found out by spin; tests/models/check.sh sees to it. */

#ifndef WHOLE
#define WHOLE 2
#endif
#ifndef D
#define D 2  /* how long a dealer counts a grant; its user has it a tick less */
#endif
#ifndef ASKS
#define ASKS 3
#endif

#define U(d, u) ((d) * 2 + (u))

/* Users. */
byte share[2], ends[2], number[2], age[2], to[2];
/* What is under way from and to each, for each dealer: the last one sent there. */
byte ask_number[4], ask_share[4];
byte answer_number[4], answer_share[4];
bool answer_renews[4];
bool waits[2];  /* the last ask has not been answered */
/* Dealers: what counts as out, for how long, and the last ask heard of each. */
byte out[4], left[4], heard[4];
byte learning[2];
byte holder;      /* 0, 1: who holds by the lease; 2: nobody */
bool believes[2]; /* what a dealer remembers */

#define HAS(u) ((ends[u] > 0) -> share[u] : 0)
inline never_more() { assert(HAS(0) + HAS(1) <= WHOLE) }

inline tick() {
  byte k;
  for (k : 0 .. 1) {
#ifdef BROKEN_END
    if :: ends[k] > 1 -> ends[k]-- :: else fi;
#else
    if :: ends[k] > 1 -> ends[k]-- :: else -> ends[k] = 0; share[k] = 0 fi;
#endif
    if :: age[k] < D -> age[k]++ :: else fi;
    if :: learning[k] > 0 -> learning[k]-- :: else fi
  }
  for (k : 0 .. 3) { if :: left[k] > 1 -> left[k]-- :: else -> left[k] = 0; out[k] = 0 fi }
  k = 0
}

inline forget(dealer, u) {
  answer_number[U(dealer, u)] = 0; answer_share[U(dealer, u)] = 0; answer_renews[U(dealer, u)] = false
}

proctype User(byte me) {
  byte d;
  do
  :: atomic { number[me] < ASKS ->
       if :: d = 0 :: d = 1 fi;
       number[me]++; age[me] = 0; waits[me] = true; to[me] = d;
       ask_number[U(d, me)] = number[me]; ask_share[U(d, me)] = HAS(me);
#ifndef BROKEN_LAST
       forget(0, me); forget(1, me);  /* what cannot be taken any more, so that states are one */
#endif
       d = 0 }
  :: atomic { true ->  /* an answer comes, or comes again */
       if :: d = 0 :: d = 1 fi;
       if
#ifdef BROKEN_LAST
       :: answer_number[U(d, me)] > 0 ->
#else
       :: answer_number[U(d, me)] == number[me] && number[me] > 0 && waits[me] && to[me] == d ->
#endif
            if
            :: answer_renews[U(d, me)] && answer_share[U(d, me)] > HAS(me) -> share[me] = HAS(me)
            :: else -> share[me] = answer_share[U(d, me)]
            fi;
            /* From its asking on. */
            ends[me] = ((age[me] < D - 1) -> D - 1 - age[me] : 0);
            if :: ends[me] == 0 -> share[me] = 0 :: else fi;
            waits[me] = false;
#ifndef BROKEN_LAST
            forget(0, me); forget(1, me);
#endif
            never_more()
       :: else
       fi;
       d = 0 }
  od
}

#define OTHERS(d, u) out[U(d, 1 - (u))]
#ifdef BROKEN_ASKED
#define MAY(d) believes[d]
#else
#define MAY(d) (holder == (d))
#endif

proctype Dealer(byte me) {
  byte u, most, want;
  do
  :: atomic { true ->
       if :: u = 0 :: u = 1 fi;
       if
       :: MAY(me) && ask_number[U(me, u)] > heard[U(me, u)] ->
            heard[U(me, u)] = ask_number[U(me, u)];
#ifdef BROKEN_FIRST
            most = WHOLE;
            if :: want = 0 :: want = WHOLE fi;
#else
            most = ((OTHERS(me, u) < WHOLE) -> WHOLE - OTHERS(me, u) : 0);
            if :: want = 0 :: want = 1 :: want = WHOLE fi;
#endif
            answer_renews[U(me, u)] = (learning[me] > 0);
            if
            :: learning[me] > 0 && want > ask_share[U(me, u)] -> want = ask_share[U(me, u)]
            :: else
            fi;
            if :: want > most -> want = most :: else fi;
            answer_number[U(me, u)] = heard[U(me, u)];
            answer_share[U(me, u)] = want;
#ifndef BROKEN_LAST
            if :: answer_number[U(me, u)] != number[u] || to[u] != me -> forget(me, u) :: else fi;
#endif
            out[U(me, u)] = ((want > ask_share[U(me, u)]) -> want : ask_share[U(me, u)]);
            ask_share[U(me, u)] = 0;
            left[U(me, u)] = ((out[U(me, u)] > 0) -> D : 0)
       :: else
       fi;
       u = 0; most = 0; want = 0 }
  od
}

proctype World() {
  do
  :: atomic { true -> tick() }
  :: atomic { holder == 2 && !believes[1] ->  /* the second takes the duty; the first may still believe that it has it */
       holder = 1; believes[1] = true;
#ifndef BROKEN_LEARN
       learning[1] = D
#endif
     }
  :: atomic { holder == 0 -> holder = 2 }
  od
}

init {
  atomic { believes[0] = true; to[0] = 0; holder = 0; run User(0); run User(1); run Dealer(0); run Dealer(1); run World() }
}
