/* A model of the allocation in src/budgets, for spin: can all instances together ever have more than the total?
 *
 * There are two allocators ("Dealer"), one after the other as the lease has it; the earlier one may be stopped and act
 * late, by what it remembers. There are two quota clients ("User"). Time is ticks, and every timer counts down by them.
 * The margin for the drift of clocks is modelled by a grant that expires a tick earlier at its client than at the
 * allocator. A request ("ask") reports the share that the client holds. Each client has one request under way to each
 * allocator; it may be read late, or twice, after later ones have been sent. A grant ("answer") may arrive late, twice
 * or never.
 *
 * spin must find an error in each of these variants, and tests/models/check.sh checks that it does: BROKEN_LEARN (a new
 * allocator grants without a learning time), BROKEN_FIRST (it grants a share before it has been given back), BROKEN_LAST
 * (a client accepts the answer to an earlier request), BROKEN_END (a client uses an expired share) and BROKEN_ASKED (an
 * allocator that was stopped grants without asking its lease). */

#ifndef WHOLE
#define WHOLE 2
#endif
#ifndef D
#define D 2  /* how many ticks an allocator counts a grant; at its client it expires a tick earlier */
#endif
#ifndef ASKS
#define ASKS 3
#endif

#define U(d, u) ((d) * 2 + (u))

/* Quota clients: the share held, the ticks until it expires, the number and age of the last request, and the allocator
 * that it was sent to. */
byte share[2], ends[2], number[2], age[2], to[2];
/* The messages under way between each client and each allocator: only the last one in each direction. */
byte ask_number[4], ask_share[4];
byte answer_number[4], answer_share[4];
bool answer_renews[4];
bool waits[2];  /* the last request has not been answered */
/* Allocators, for each client: the outstanding share, the ticks until it expires, and the last request that was read. */
byte out[4], left[4], heard[4];
byte learning[2];
byte holder;      /* the allocator that holds the lease, 0 or 1; 2: none */
bool believes[2]; /* whether an allocator remembers holding the lease */

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
       forget(0, me); forget(1, me);  /* drops answers that would be ignored, so that spin merges equal states */
#endif
       d = 0 }
  :: atomic { true ->  /* an answer arrives, or arrives again */
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
            /* The duration counts from the sending of the request. */
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
  /* The second allocator acquires the lease; the first may still believe that it holds it. */
  :: atomic { holder == 2 && !believes[1] ->
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
