/* Denials beside reads that are behind: one daemon lists and shows results of a job, another one is asked for them.

   Modelled: each write raises the store's revision; some of them list a result, which the first daemon then shows to a
   caller. Transactions are decided on the current state, and name its revision; their responses may take any time. A
   read reflects any earlier state and names its revision. The reader is asked from time to time, also after a restart, in
   which it forgets everything. Time passes in ticks.

   The reader denies on a read only if the read reaches the revision named by a transaction that it sent at most MAX_AGE
   ticks before the question; else it reads by a transaction.

   Checked: what was shown SETTLE ticks before a question, or earlier, is not denied.

   Broken variants: BELIEVE_READ holds a read against the newest revision that the reader has received, and against no
   transaction; OLD_TRANSACTION lets a transaction bound the age of reads forever; AGE_FROM_RESPONSE counts its age from
   its response. */

#define RESULTS 2
#define MAX_REVISION 4
#define MAX_TICK 4
#define MAX_AGE 1
#define SETTLE 2

byte tick = 0;

byte revision = 0;
byte listed = 0;                     /* results in the current state */
byte listed_at[MAX_REVISION + 1];    /* results listed, by revision */

byte shown = 0;
byte shown_at[RESULTS];              /* tick at which a result was shown */

proctype Writer() {
  do
  :: atomic {
       /* Lists a result, or writes something else. */
       revision < MAX_REVISION ->
       if
       :: listed < RESULTS -> listed++
       :: true -> skip
       fi;
       revision++;
       listed_at[revision] = listed
     }
  :: atomic {
       shown < listed -> shown_at[shown] = tick; shown++
     }
  od
}

inline answer(count, asked) {
  /* The page from the first position on; a result that it lacks is denied. */
  assert(!(shown > count && shown_at[count] + SETTLE <= asked))
}

proctype Reader() {
  byte newest = 0;
  bool has_point = false;
  byte point_revision = 0;
  byte point_tick = 0;
  byte sent = 0;
  byte named = 0;
  byte asked = 0;
  byte read = 0;
  do
  :: /* A transaction of its own, whose response takes any time. */
     sent = tick;
     atomic {
       named = revision;
       if
       :: revision < MAX_REVISION -> revision++; listed_at[revision] = listed; named = revision
       :: true -> skip
       fi
     };
#ifdef AGE_FROM_RESPONSE
     sent = tick;
#endif
     atomic {
       has_point = true;
       point_revision = named;
       point_tick = sent;
       if :: named > newest -> newest = named :: else -> skip fi;
       sent = 0; named = 0
     }
  :: /* A restart. */
     atomic { has_point = false; point_revision = 0; point_tick = 0; newest = 0 }
  :: /* A question. */
     asked = tick;
     atomic {
       read = 0;
       do
       :: read < revision -> read++
       :: break
       od
     };
     atomic {
       if
#ifdef BELIEVE_READ
       :: read >= newest -> answer(listed_at[read], asked)
       :: read < newest -> skip
#else
#ifdef OLD_TRANSACTION
       :: has_point && read >= point_revision && read >= newest -> answer(listed_at[read], asked)
#else
       :: has_point && point_tick + MAX_AGE >= asked && read >= point_revision && read >= newest ->
          answer(listed_at[read], asked)
#endif
       :: else -> answer(listed, asked)
#endif
       fi;
       if :: read > newest -> newest = read :: else -> skip fi;
       asked = 0; read = 0
     }
  od
}

proctype Clock() {
  do
  :: tick < MAX_TICK -> tick++
  :: else -> break
  od
}

init {
  atomic {
    run Writer();
    run Reader();
    run Clock()
  }
}
