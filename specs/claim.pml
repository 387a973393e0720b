/* At-most-once claims: two callers send requests with the same idempotency key, each through a gateway of its own.

   Modelled: a gateway inserts a claim row if there is none, and dispatches the request only if its claim was granted.
   The store's reply may be lost, whether or not the insert took effect; the gateway then reads the row back, which
   may fail as well. If the outcome stays indeterminate, it responds "not run" and releases a claim of its own. A
   gateway may pause between any two steps. Each caller sends its request MAX_SENDS times, whatever the responses.

   Checked: the request runs at most once; if every response was "not run", it did not run.

   Broken variants: NO_CLAIM dispatches without a claim; ASSUME_GRANTED considers a claim granted if the reply was lost,
   without reading back; RELEASE_ANY releases the claim of any attempt. */

#define GATEWAYS 2
#define MAX_SENDS 2

#define UNCLAIMED 0

byte claim = UNCLAIMED;        /* attempt that holds the claim */
bool response_stored = false;  /* the row holds the response of a run */
byte runs = 0;                 /* times that a replica ran the request */
byte not_run_responses = 0;
byte responses = 0;
byte next_attempt = 1;

proctype Gateway() {
  byte attempt;
  byte sent = 0;
  bool granted;
  bool indeterminate;

  do
  :: sent < MAX_SENDS ->
     sent++;
     atomic { attempt = next_attempt; next_attempt++; }
     granted = false;
     indeterminate = false;

     /* Insert the claim if absent. If the reply is lost, the insert may have taken effect or not. */
     atomic {
       if
       :: claim == UNCLAIMED && !response_stored -> claim = attempt; granted = true
       :: claim == UNCLAIMED && !response_stored -> claim = attempt; indeterminate = true
       :: claim != UNCLAIMED || response_stored -> skip
       :: indeterminate = true
       fi
     }

#ifdef ASSUME_GRANTED
     if :: indeterminate -> granted = true :: else -> skip fi;
#else
     /* Read back after a lost reply: only a row with the own attempt id grants. The read may fail too. */
     if
     :: indeterminate ->
        if
        :: atomic { claim == attempt -> granted = true }
        :: skip
        fi
     :: else -> skip
     fi;
#endif
#ifdef NO_CLAIM
     granted = true;
#endif

     if
     :: granted ->
        /* Dispatch: the replica runs the request and its response is stored, runs it but the response is lost, or
           refuses it. */
        if
        :: atomic { runs++; response_stored = true; responses++ }
        :: atomic { runs++; responses++ }
        :: atomic {
             /* Certainly not run: release the claim, so that a resend may run. */
             if :: claim == attempt -> claim = UNCLAIMED :: else -> skip fi;
             responses++; not_run_responses++
           }
        fi
     :: !granted && indeterminate ->
        /* Not dispatched, respond "not run". The claim may still have been inserted, so it is released. */
        atomic { responses++; not_run_responses++ };
#ifdef RELEASE_ANY
        claim = UNCLAIMED
#else
        atomic { if :: claim == attempt -> claim = UNCLAIMED :: else -> skip fi }
#endif
     :: !granted && !indeterminate ->
        /* Another attempt holds the claim: respond with the stored response or "unknown". */
        responses++
     fi
  :: sent == MAX_SENDS -> break
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
  /* Waits for all gateways to end. */
  (_nr_pr == 2);
  assert(runs <= 1);
  assert(responses != not_run_responses || runs == 0)
}

/* Checks the number of runs in every state. */
active proctype Monitor() {
  end: atomic { runs > 1 -> assert(false) }
}
