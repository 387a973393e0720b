/* Configuration: two daemons and the table, which may be down; changes are accepted by the table alone.

   Time is counted in ticks. A daemon pulls from the table or from its peer, and proves freshness by an answer whose
   age is counted from before the question. Answers may wait, as in the buffer of a paused daemon. A daemon without a
   proof younger than BOUND takes the safe plan.

   Checked: no daemon's revision falls; a daemon that acts on more than the safe plan holds every change accepted
   more than BOUND ticks ago. Broken variants: FLATTER counts an answer's age from its receipt; REVERT adopts
   whatever a peer sends. */

#define DAEMONS 2
#define BOUND 1
#define MOST_REVISION 2
#define MOST_TICKS 4
#define NEVER 99

byte now = 0;
byte head = 0;                        /* newest accepted revision */
byte accepted_at[MOST_REVISION + 1];  /* tick at which each was accepted */
byte revision[DAEMONS];
byte proof[DAEMONS];                  /* tick of the proof, NEVER without */
byte acting_revision;

inline check_daemon(self) {
  /* Fresh, by its own belief: it must hold all that was accepted before now - BOUND. */
  if
  :: proof[self] != NEVER && now - proof[self] <= BOUND && revision[self] < head ->
     assert(now - accepted_at[revision[self] + 1] <= BOUND)
  :: else -> skip
  fi
}

proctype Daemon(byte self) {
  byte peer = 1 - self;
  byte asked_at;
  byte heard_revision;
  byte heard_proof;
  byte before;

  do
  :: now < MOST_TICKS ->
     if
     :: /* Ask the table. The answer may wait before it is taken. */
        atomic { asked_at = now };
        atomic { heard_revision = head };
        atomic {
          before = revision[self];
          if :: heard_revision > revision[self] -> revision[self] = heard_revision :: else -> skip fi;
#ifdef FLATTER
          asked_at = now;
#endif
          if
          :: heard_revision == revision[self] &&
             (proof[self] == NEVER || asked_at > proof[self]) -> proof[self] = asked_at
          :: else -> skip
          fi;
          assert(revision[self] >= before);
          check_daemon(self);
          asked_at = 0;
          heard_revision = 0;
          heard_proof = 0;
          before = 0
        }
     :: /* Ask the peer. */
        atomic { heard_revision = revision[peer]; heard_proof = proof[peer] };
        atomic {
          before = revision[self];
#ifdef REVERT
          revision[self] = heard_revision;
#else
          if :: heard_revision > revision[self] -> revision[self] = heard_revision :: else -> skip fi;
#endif
          if
          :: heard_proof != NEVER && heard_revision == revision[self] &&
             (proof[self] == NEVER || heard_proof > proof[self]) -> proof[self] = heard_proof
          :: else -> skip
          fi;
          assert(revision[self] >= before);
          check_daemon(self);
          asked_at = 0;
          heard_revision = 0;
          heard_proof = 0;
          before = 0
        }
     :: /* The table is down, or the daemon is paused: nothing is learned. */
        atomic { check_daemon(self) }
     fi
  :: now >= MOST_TICKS -> break
  od
}

proctype World() {
  do
  :: atomic { now < MOST_TICKS -> now++ }
  :: atomic { head < MOST_REVISION && now < MOST_TICKS -> head++; accepted_at[head] = now }
  :: now >= MOST_TICKS -> break
  od
}

init {
  atomic {
    proof[0] = NEVER;
    proof[1] = NEVER;
    run Daemon(0);
    run Daemon(1);
    run World()
  }
}
