/* A spin model of the lease in src/duties/lease.cpp. It checks that two members never hold the lease at the same time,
 * and that no state is reachable from which no member can ever acquire the lease again.
 *
 * Two askers (members that request the lease) and three voters (lease acceptors) take part. Time passes in ticks, by
 * which all timers count down. The code's margin for clock drift is modelled by a holder that counts the lease one tick
 * shorter than a voter does. Messages are facts that persist: each may be read late, twice or never, which covers
 * delay, duplication, reordering and loss. Voters may restart up to RESTARTS times in all and one asker once; they lose
 * their state. The faults end at an arbitrary moment, and all messages sent until then are lost. From then on one asker
 * requests the lease without interference, and must hold it within 2 T + 3 ticks.
 *
 * Spin must find an error in each of these variants, which tests/models/check.sh verifies:
 * - BROKEN_SILENCE: a restarted voter votes at once;
 * - BROKEN_MARGIN: a holder counts the lease longer than a voter does;
 * - BROKEN_PROMISE: a voter forgets its promise;
 * - BROKEN_ROUNDS: a round accepts answers without a time limit, including the promise of a voter that has since
 *   restarted and forgotten it. */

#ifndef T
#define T 2
#endif
#ifndef BALLOTS
#define BALLOTS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#ifdef BROKEN_MARGIN
#define HELD (T + 1)
#else
#define HELD (T - 1)
#endif
#define OPEN 1  /* ticks during which a round accepts answers */
#ifdef BROKEN_SILENCE
#define SILENT 0
#else
#define SILENT (T + 1)
#endif

#define AT(b, v) ((b) * 3 + (v))
#define COUNT(what, b) (what[AT(b, 0)] + what[AT(b, 1)] + what[AT(b, 2)])
#define FREE(v, who) (left[v] == 0 || owner[accepted[v]] == (who))

/* Voters. */
byte promised[3], accepted[3], left[3], silent[3];
byte restarts;
/* Askers. */
byte phase[2], ballot[2], open[2], pending[2], held[2], life[2];
/* Ballots and the messages that were sent under each. */
byte next = 1;
byte owner[BALLOTS + 2];
bool prepare[BALLOTS + 2], propose[BALLOTS + 2];
bool free_said[(BALLOTS + 2) * 3], accept_said[(BALLOTS + 2) * 3];
bool calm;

#define DOWN(x) if :: x > 0 -> x-- :: else fi

/* Clears an accepted ballot once its lease has ended, so that states that differ only in it are merged. */
#define ENDS(v) if :: left[v] > 1 -> left[v]-- :: else -> left[v] = 0; accepted[v] = 0 fi

inline tick() {
  ENDS(0); ENDS(1); ENDS(2);
  DOWN(silent[0]); DOWN(silent[1]); DOWN(silent[2]);
#ifndef BROKEN_ROUNDS
  DOWN(open[0]); DOWN(open[1]);
#endif
  DOWN(pending[0]); DOWN(pending[1]);
  DOWN(held[0]); DOWN(held[1])
}

/* The asker that owns a ballot, and whether it still waits for answers in the given phase. Other answers would have no
 * effect, so they are not modelled. */
#define ASKER(b) ((owner[b] - 1) & 1)
#define WAITS(b, in) (ballot[ASKER(b)] == (b) && phase[ASKER(b)] == (in))

inline end_round(me) {
  free_said[AT(ballot[me], 0)] = false; free_said[AT(ballot[me], 1)] = false; free_said[AT(ballot[me], 2)] = false;
  accept_said[AT(ballot[me], 0)] = false; accept_said[AT(ballot[me], 1)] = false;
  accept_said[AT(ballot[me], 2)] = false;
  prepare[ballot[me]] = false;  /* a voter that read it later could only refuse more */
  phase[me] = 0; ballot[me] = 0; open[me] = 0; pending[me] = 0
}

inline one_holder() { assert(!(held[0] > 0 && held[1] > 0)) }

proctype Asker(byte me) {
  do
  :: atomic { !calm && phase[me] == 0 && next <= BALLOTS ->
       ballot[me] = next; next++;
       owner[ballot[me]] = 1 + me + 2 * life[me];
       prepare[ballot[me]] = true; phase[me] = 1; open[me] = OPEN }
  :: atomic { !calm && phase[me] == 1 && open[me] > 0 && COUNT(free_said, ballot[me]) >= 2 ->
       pending[me] = HELD; propose[ballot[me]] = true; phase[me] = 2; open[me] = OPEN }
  :: atomic { !calm && phase[me] == 2 && open[me] > 0 && COUNT(accept_said, ballot[me]) >= 2 ->
       if :: pending[me] > 0 -> held[me] = pending[me] :: else fi;
       end_round(me);
       one_holder() }
  :: atomic { !calm && phase[me] != 0 -> end_round(me) }
  :: atomic { !calm && me == 0 && life[me] == 0 -> life[me] = 1; end_round(me); held[me] = 0 }
  :: calm -> break
  od
}

proctype Voter(byte me) {
  byte b;
  do
  :: atomic { !calm && silent[me] == 0 ->
       select(b : 1 .. BALLOTS);
       if
       :: prepare[b] && b >= promised[me] ->
#ifndef BROKEN_PROMISE
            promised[me] = b;
#endif
            if :: FREE(me, owner[b]) && WAITS(b, 1) -> free_said[AT(b, me)] = true :: else fi
       :: propose[b] && b >= promised[me] ->
            promised[me] = b; accepted[me] = b; left[me] = T;
            if :: WAITS(b, 2) -> accept_said[AT(b, me)] = true :: else fi
       :: else
       fi;
       b = 0 }
  :: atomic { !calm && restarts < RESTARTS ->
       restarts++; promised[me] = 0; accepted[me] = 0; left[me] = 0; silent[me] = SILENT }
  :: calm -> break
  od
}

proctype Clock() {
  do
  :: atomic { !calm -> tick() }
  :: calm -> break
  od
}

/* The faults end: asker 0 requests the lease, and every message arrives. */
proctype Calm() {
  byte ticks, v, yes;
  atomic {
    calm = true;
    owner[BALLOTS + 1] = 1 + 2 * life[0];
    do
    :: ticks <= 2 * T + 3 ->
       tick(); ticks++;
       yes = 0;
       for (v : 0 .. 2) { if :: silent[v] == 0 && FREE(v, owner[BALLOTS + 1]) -> yes++ :: else fi }
       if
       :: yes >= 2 ->
          for (v : 0 .. 2) { if :: silent[v] == 0 -> accepted[v] = BALLOTS + 1; left[v] = T :: else fi }
          held[0] = HELD;
          one_holder();
          break
       :: else
       fi
    :: else -> assert(false)  /* no member can acquire the lease again */
    od
  }
}

init {
  atomic { run Asker(0); run Asker(1); run Voter(0); run Voter(1); run Voter(2); run Clock(); run Calm() }
}
