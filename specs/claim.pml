/* At-most-once claims: two callers send the same marked request through two gateways.

   A gateway inserts a claim row, if absent, before it dispatches; the store's answer may be lost after the change
   took effect; a gateway may be paused at any step, so that each step is a separate transition; a gateway that
   could not make its claim says "not run" and releases a claim of its own that may stand after all; a caller that
   hears nothing, or "not run" or "unknown", sends again.

   Checked: the request is dispatched at most once at a time and runs at most once; if every answer was "not run",
   it did not run. Broken variants: NO_CLAIM dispatches without a claim; TRUST_LOST takes a lost answer for a
   granted claim without reading back; RELEASE_ANY releases whatever claim stands. */

#define GATEWAYS 2
#define SENDS 2

#define FREE 0

byte claim = FREE;      /* attempt that holds the claim; FREE if none */
bool done = false;      /* the row carries an answer */
byte runs = 0;          /* times that the engine ran the request */
byte answers_not_run = 0;
byte answers = 0;
byte next_attempt = 1;

proctype Gateway() {
  byte attempt;
  byte sends = 0;
  bool held;
  bool lost;

  do
  :: sends < SENDS ->
     sends++;
     atomic { attempt = next_attempt; next_attempt++; }
     held = false;
     lost = false;

     /* Insert if absent; the answer may be lost after the change took effect, or before. */
     atomic {
       if
       :: claim == FREE && !done -> claim = attempt; held = true
       :: claim == FREE && !done -> claim = attempt; lost = true
       :: claim != FREE || done -> skip
       :: lost = true
       fi
     }

#ifdef TRUST_LOST
     if :: lost -> held = true :: else -> skip fi;
#else
     /* A lost answer is settled by reading back: only the own attempt id grants. The reading may fail too. */
     if
     :: lost ->
        if
        :: atomic { claim == attempt -> held = true }
        :: skip
        fi
     :: else -> skip
     fi;
#endif
#ifdef NO_CLAIM
     held = true;
#endif

     if
     :: held ->
        /* Dispatch: the engine refuses, or runs and answers, or runs and the answer is cut. */
        if
        :: atomic { runs++; done = true; answers++ }
        :: atomic { runs++; answers++ }
        :: atomic {
             /* Certainly not run: release, so that a resend may run. */
             if :: claim == attempt -> claim = FREE :: else -> skip fi;
             answers++; answers_not_run++
           }
        fi
     :: !held && lost ->
        /* Gave up undispatched: "not run"; a claim of this attempt that stands is removed later. */
        atomic { answers++; answers_not_run++ };
#ifdef RELEASE_ANY
        claim = FREE
#else
        atomic { if :: claim == attempt -> claim = FREE :: else -> skip fi }
#endif
     :: !held && !lost ->
        /* Another attempt holds the claim: stored answer or "unknown". */
        answers++
     fi
  :: sends == SENDS -> break
  od
}

init {
  byte index = 0;
  atomic {
    do
    :: index < GATEWAYS -> run Gateway(); index++
    :: else -> break
    od
  }
  /* All gateways have ended. */
  (_nr_pr == 2);
  assert(runs <= 1);
  assert(answers != answers_not_run || runs == 0)
}

/* At every moment. */
active proctype Monitor() {
  end: atomic { runs > 1 -> assert(false) }
}
