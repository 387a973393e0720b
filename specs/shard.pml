/* Ownership of a shard, with grants, commits, takeover and cancellation: two members, one shard, one job of two items.

   Modelled: a member takes over the shard by incrementing the epoch in its row. The owner loads the chunk row, runs
   items that are not done, and commits results conditional on its epoch. It may be suspended between any two steps
   and continue after it has lost the shard. ONCE_ITEM is an at-most-once item: its intent is committed before it is
   granted, and only the owner that committed the intent may run it. A cancel is committed on the job row and
   acknowledged after both members were notified. A member that was not notified yet may start items.

   Checked: no item's result counts twice; the at-most-once item runs at most once; nothing starts after the cancel was
   acknowledged.

   Broken variants: NO_FENCE commits whatever the epoch is; NO_INTENT runs the at-most-once item without an intent;
   EARLY_ACK acknowledges the cancel before the members were notified. */

#define MEMBERS 2
#define ITEMS 2
#define ONCE_ITEM (ITEMS - 1)
#define MAX_EPOCH 3

byte epoch = 0;              /* the shard's ownership row */
bool done[ITEMS];            /* the chunk row */
bool intent_committed = false;
byte result_count[ITEMS];    /* results committed for each item */
byte once_item_runs = 0;
bool job_cancelled = false;  /* the job row */
bool notified[MEMBERS];      /* members that were notified of the cancel */
bool cancel_acknowledged = false;
bool started_after_ack = false;

inline start_item(item) {
  /* The caller checks `notified` in the same atomic step. */
  if
  :: cancel_acknowledged -> started_after_ack = true
  :: else -> skip
  fi;
  if
  :: item == ONCE_ITEM -> once_item_runs++
  :: else -> skip
  fi
}

proctype Member(byte self) {
  byte own_epoch;
  bool copy_done[ITEMS];
  bool finished[ITEMS];
  bool may_run_once_item;
  byte item;

  do
  :: epoch < MAX_EPOCH ->
     /* Takes over the shard, then reads the chunk row. */
     atomic { epoch++; own_epoch = epoch };
     atomic {
       copy_done[0] = done[0];
       copy_done[1] = done[1];
       finished[0] = false;
       finished[1] = false;
       may_run_once_item = false
     };

     do
     :: /* Runs the ordinary item. */
        atomic {
          !copy_done[0] && !finished[0] && !notified[self] ->
          start_item(0);
          finished[0] = true
        }
     :: /* Commits the intent of the at-most-once item. */
        atomic {
#ifdef NO_FENCE
          !intent_committed && !copy_done[ONCE_ITEM] ->
#else
          !intent_committed && !copy_done[ONCE_ITEM] && epoch == own_epoch ->
#endif
          intent_committed = true;
          may_run_once_item = true
        }
     :: /* Runs the at-most-once item. */
        atomic {
#ifdef NO_INTENT
          !copy_done[ONCE_ITEM] && !finished[ONCE_ITEM] && !notified[self] ->
#else
          may_run_once_item && !finished[ONCE_ITEM] && !notified[self] ->
#endif
          may_run_once_item = false;
          start_item(ONCE_ITEM);
          finished[ONCE_ITEM] = true
        }
     :: /* Commits results. A former owner is refused and drops its state. */
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
                :: finished[item] && !copy_done[item] ->
                   done[item] = true;
                   copy_done[item] = true;
                   result_count[item]++
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
             copy_done[0] = true;
             copy_done[1] = true;
             may_run_once_item = false
#endif
          fi
        }
     :: break
     od
  :: break
  od
}

proctype Canceller() {
  job_cancelled = true;
#ifdef EARLY_ACK
  cancel_acknowledged = true;
#endif
  notified[0] = true;
  notified[1] = true;
  cancel_acknowledged = true
}

active proctype Monitor() {
  end: atomic {
    (result_count[0] > 1 || result_count[1] > 1 || once_item_runs > 1 || started_after_ack) -> assert(false)
  }
}

init {
  atomic {
    run Member(0);
    run Member(1);
    run Canceller()
  }
}
