/* Shard ownership, grants, commits, takeover and cancel: two members, one shard, two items.

   A member takes the shard by raising the epoch in its row. An owner loads the chunk row, grants undone items to
   a worker, and commits results conditional on its epoch. It may be paused at any step, so that it wakes believing
   that it still owns. Item ITEMS-1 is at-most-once: its intent is committed before it is granted, and an intent of
   another owner is never granted again. A cancel is committed on the job row; it is acknowledged once both members
   have noted it, and a member that was not told starts nothing without being assured.

   Checked: no item's result counts twice; the at-most-once item runs at most once; after the acknowledged cancel
   nothing is started. Broken variants: NO_FENCE commits without the epoch; NO_INTENT grants without an intent;
   EARLY_ACK acknowledges the cancel before the members have noted it. */

#define MEMBERS 2
#define ITEMS 2
#define ONCE (ITEMS - 1)
#define MOST_EPOCH 3

byte epoch = 0;              /* the shard's ownership row */
bool done[ITEMS];            /* the chunk row */
bool intent = false;
byte counted[ITEMS];         /* results that count */
byte runs_once = 0;          /* runs of the at-most-once item */
bool cancelled = false;      /* the job row */
bool told[MEMBERS];          /* the member has noted the cancel */
bool acknowledged = false;
bool started_late = false;

inline start(item) {
  /* A member looks whether it has been told in the same step in which it starts the item. */
  if
  :: acknowledged -> started_late = true
  :: else -> skip
  fi;
  if
  :: item == ONCE -> runs_once++
  :: else -> skip
  fi
}

proctype Member(byte self) {
  byte own_epoch;
  bool known[ITEMS];
  bool finished[ITEMS];
  bool may_run_once;
  byte item;

  do
  :: epoch < MOST_EPOCH ->
     /* Take the shard, then read the chunk row. */
     atomic { epoch++; own_epoch = epoch };
     atomic {
       known[0] = done[0];
       known[1] = done[1];
       finished[0] = false;
       finished[1] = false;
       may_run_once = false
     };

     do
     :: /* Run the ordinary item. */
        atomic {
          !known[0] && !finished[0] && !told[self] ->
          start(0);
          finished[0] = true
        }
     :: /* Commit the intent of the at-most-once item. */
        atomic {
#ifdef NO_FENCE
          !intent && !known[ONCE] ->
#else
          !intent && !known[ONCE] && epoch == own_epoch ->
#endif
          intent = true;
          may_run_once = true
        }
     :: /* Run the at-most-once item. */
        atomic {
#ifdef NO_INTENT
          !known[ONCE] && !finished[ONCE] && !told[self] ->
#else
          may_run_once && !finished[ONCE] && !told[self] ->
#endif
          may_run_once = false;
          start(ONCE);
          finished[ONCE] = true
        }
     :: /* Commit results; a stale owner is refused and forgets. */
        atomic {
          finished[0] || finished[1] ->
#ifdef NO_FENCE
          if
          :: true ->
#else
          if
          :: epoch == own_epoch ->
#endif
             item = 0;
             do
             :: item < ITEMS ->
                if
                :: finished[item] && !known[item] ->
                   done[item] = true;
                   known[item] = true;
                   counted[item]++
                :: else -> skip
                fi;
                finished[item] = false;
                item++
             :: else -> break
             od;
             item = 0
#ifndef NO_FENCE
          :: else ->
             finished[0] = false;
             finished[1] = false;
             known[0] = true;
             known[1] = true;
             may_run_once = false
#endif
          fi
        }
     :: break
     od
  :: break
  od
}

proctype Canceller() {
  cancelled = true;
#ifdef EARLY_ACK
  acknowledged = true;
#endif
  told[0] = true;
  told[1] = true;
  acknowledged = true
}

active proctype Monitor() {
  end: atomic {
    (counted[0] > 1 || counted[1] > 1 || runs_once > 1 || started_late) -> assert(false)
  }
}

init {
  atomic {
    run Member(0);
    run Member(1);
    run Canceller()
  }
}
