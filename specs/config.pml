/* Copies of the configuration at two daemons, and the store's table, which alone accepts changes.

   Modelled: time is counted in ticks. A daemon polls the table or its peer, adopts newer revisions, and keeps a
   freshness proof: a tick at which its revision was the newest. The age of a proof counts from before the poll of the
   table. A response may be processed any time after it was produced, as by a daemon that was suspended. The table may
   be unavailable for any time. A daemon without a proof, or with one older than FRESHNESS_BOUND, lends and borrows no
   capacity (the safe plan) and is not checked for freshness.

   Checked: the revision of a daemon never decreases; a daemon with a proof within FRESHNESS_BOUND holds every change
   that was accepted more than FRESHNESS_BOUND ticks ago.

   Broken variants: AGE_FROM_RECEIPT counts the age of a proof from the receipt of the response; ADOPT_ANY adopts any
   revision that a peer reports, also an older one. */

#define DAEMONS 2
#define FRESHNESS_BOUND 1
#define MAX_REVISION 2
#define MAX_TICKS 4
#define NO_PROOF 99

byte now = 0;
byte newest_revision = 0;            /* accepted by the table; 0 if none */
byte accepted_at[MAX_REVISION + 1];  /* tick at which each revision was accepted */
byte revision[DAEMONS];
byte proof_tick[DAEMONS];            /* tick of the newest proof, or NO_PROOF */
byte acting_revision;

inline check_freshness(self) {
  /* A daemon with a recent proof must hold all that was accepted before now - FRESHNESS_BOUND. */
  if
  :: proof_tick[self] != NO_PROOF && now - proof_tick[self] <= FRESHNESS_BOUND && revision[self] < newest_revision ->
     assert(now - accepted_at[revision[self] + 1] <= FRESHNESS_BOUND)
  :: else -> skip
  fi
}

proctype Daemon(byte self) {
  byte peer = 1 - self;
  byte requested_at;
  byte reported_revision;
  byte reported_proof;
  byte previous_revision;

  do
  :: now < MAX_TICKS ->
     if
     :: /* Poll the table. The response may be delayed before it is processed. */
        atomic { requested_at = now };
        atomic { reported_revision = newest_revision };
        atomic {
          previous_revision = revision[self];
          if :: reported_revision > revision[self] -> revision[self] = reported_revision :: else -> skip fi;
#ifdef AGE_FROM_RECEIPT
          requested_at = now;
#endif
          if
          :: reported_revision == revision[self] &&
             (proof_tick[self] == NO_PROOF || requested_at > proof_tick[self]) -> proof_tick[self] = requested_at
          :: else -> skip
          fi;
          assert(revision[self] >= previous_revision);
          check_freshness(self);
          requested_at = 0;
          reported_revision = 0;
          reported_proof = 0;
          previous_revision = 0
        }
     :: /* Poll the peer. */
        atomic { reported_revision = revision[peer]; reported_proof = proof_tick[peer] };
        atomic {
          previous_revision = revision[self];
#ifdef ADOPT_ANY
          revision[self] = reported_revision;
#else
          if :: reported_revision > revision[self] -> revision[self] = reported_revision :: else -> skip fi;
#endif
          if
          :: reported_proof != NO_PROOF && reported_revision == revision[self] &&
             (proof_tick[self] == NO_PROOF || reported_proof > proof_tick[self]) -> proof_tick[self] = reported_proof
          :: else -> skip
          fi;
          assert(revision[self] >= previous_revision);
          check_freshness(self);
          requested_at = 0;
          reported_revision = 0;
          reported_proof = 0;
          previous_revision = 0
        }
     :: /* The table is unavailable, or the daemon is suspended: it receives nothing. */
        atomic { check_freshness(self) }
     fi
  :: now >= MAX_TICKS -> break
  od
}

proctype Environment() {
  do
  :: atomic { now < MAX_TICKS -> now++ }
  :: atomic {
       newest_revision < MAX_REVISION && now < MAX_TICKS ->
       newest_revision++;
       accepted_at[newest_revision] = now
     }
  :: now >= MAX_TICKS -> break
  od
}

init {
  atomic {
    proof_tick[0] = NO_PROOF;
    proof_tick[1] = NO_PROOF;
    run Daemon(0);
    run Daemon(1);
    run Environment()
  }
}
